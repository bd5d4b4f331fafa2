package topazvalve.hollowfleet.run;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.hollow.EventLoopCpu;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceMetrics;
import topazvalve.hollowfleet.source.SourceStandIn;
import topazvalve.hollowfleet.timeline.Timeline;

/** The sources of a run, each on its own event loop. Servers are assigned to them in turn. */
public final class SourceGroup implements AutoCloseable {
    private final List<SourceStandIn> sources = new ArrayList<>();
    private final List<InetSocketAddress[]> addressesByZone = new ArrayList<>();
    private final EventLoopCpu loopCpu = new EventLoopCpu();
    private final MultiThreadIoEventLoopGroup group;

    /** Starts the sources with empty lists. */
    SourceGroup(Timeline timeline, ChangeHistory history, FleetOracle oracle, LongSupplier clock) {
        int count = timeline.size().sources();
        List<String> zones = IntStream.range(0, timeline.size().zones())
                .mapToObj(zone -> "z" + zone)
                .toList();
        group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
        for (int i = 0; i < count; i++) {
            EventLoop loop = group.next();
            String name = "source " + i;
            double callsPerSecond = timeline.source().callsPerSecond();
            SourceStandIn source = new SourceStandIn(
                    loop,
                    history,
                    clock,
                    timeline.source(),
                    zones,
                    callsInSecond -> oracle.callReceived(name, callsInSecond, callsPerSecond, clock.getAsLong()));
            sources.add(source);
            addressesByZone.add(listen(source, i, zones.size()));
            loopCpu.add(loop);
        }
    }

    private static InetSocketAddress[] listen(SourceStandIn source, int number, int zoneCount) {
        InetSocketAddress[] addresses = new InetSocketAddress[zoneCount];
        for (int zone = 0; zone < zoneCount; zone++) {
            addresses[zone] = source.listen(zone, LoopbackAddresses.ofSource(number, zone));
        }
        return addresses;
    }

    /** Returns the source that publishes a server. */
    SourceStandIn ofServer(int server) {
        return sources.get(server % sources.size());
    }

    /** Returns a source by its number. */
    public SourceStandIn source(int number) {
        return sources.get(number);
    }

    /** Returns the address on which a source listens for the clients of a zone. */
    InetSocketAddress address(int source, int zone) {
        return addressesByZone.get(source)[zone];
    }

    void forEach(Consumer<SourceStandIn> action) {
        sources.forEach(action);
    }

    /** Sets the state of the links between all sources and the given zones. */
    void setLink(List<Integer> zones, SimulatedLink link) {
        for (int zone : zones) {
            sources.forEach(source -> source.setLink(zone, link));
        }
    }

    /** Waits until all earlier operations on the sources have taken effect. */
    void awaitPendingTasks() {
        group.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }

    private long sum(ToLongFunction<SourceMetrics> counter) {
        return sources.stream().map(SourceStandIn::metrics).mapToLong(counter).sum();
    }

    long calls() {
        return sum(SourceMetrics::calls);
    }

    long rejectedCalls() {
        return sum(SourceMetrics::rejectedCalls);
    }

    /** Returns the number of open watches at all sources. */
    int openWatches() {
        return (int) sum(SourceMetrics::openWatches);
    }

    long sentBytes() {
        return sum(SourceMetrics::sentBytes);
    }

    /** Returns the highest number of calls to one source in one second since the previous call of this method. */
    int takeMaxCallsPerSecond() {
        return sources.stream()
                .map(SourceStandIn::metrics)
                .mapToInt(SourceMetrics::takeMaxCallsPerSecond)
                .max()
                .orElse(0);
    }

    /** Returns the CPU time of each source's event loop since its start, in nanoseconds. */
    long[] cpuNanos() {
        return loopCpu.nanosByLoop();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

package topazvalve.hollowfleet.run;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceCounts;
import topazvalve.hollowfleet.source.SourceStandIn;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.truth.ChangeHistory;

/** The sources of a run, each on a loop of its own. Servers belong to them in turn. */
public final class Sources implements AutoCloseable {
    private final List<SourceStandIn> all = new ArrayList<>();
    private final List<InetSocketAddress[]> addresses = new ArrayList<>();
    private final List<Long> threads = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group;

    Sources(Timeline timeline, ChangeHistory truth, FleetOracle oracle, LongSupplier clock) {
        int count = timeline.size().sources();
        List<String> zones = IntStream.range(0, timeline.size().zones())
                .mapToObj(each -> "z" + each)
                .toList();
        group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
        for (int i = 0; i < count; i++) {
            EventLoop loop = group.next();
            String name = "source " + i;
            SourceStandIn source = new SourceStandIn(
                    loop,
                    truth,
                    clock,
                    timeline.source(),
                    zones,
                    inSecond -> oracle.called(name, inSecond, timeline.source().capacity(), clock.getAsLong()));
            InetSocketAddress[] at = new InetSocketAddress[zones.size()];
            for (int zone = 0; zone < at.length; zone++) {
                at[zone] = source.listen(zone, FleetRun.loopback(i, zone));
            }
            all.add(source);
            addresses.add(at);
            threads.add(loop.submit(() -> Thread.currentThread().getId())
                    .syncUninterruptibly()
                    .getNow());
        }
    }

    /** The source that tells of a server. */
    SourceStandIn of(int server) {
        return all.get(server % all.size());
    }

    /** One source by its number. */
    public SourceStandIn number(int source) {
        return all.get(source);
    }

    InetSocketAddress address(int source, int zone) {
        return addresses.get(source)[zone];
    }

    void all(Consumer<SourceStandIn> work) {
        all.forEach(work);
    }

    void link(List<Integer> zones, SimulatedLink link) {
        zones.forEach(zone -> all.forEach(each -> each.link(zone, link)));
    }

    /** Waits until all that was asked of the sources before is done. */
    void settle() {
        group.forEach(each -> each.submit(() -> {}).syncUninterruptibly());
    }

    private long sum(ToLongFunction<SourceCounts> count) {
        return all.stream().map(SourceStandIn::counts).mapToLong(count).sum();
    }

    long calls() {
        return sum(SourceCounts::calls);
    }

    long refused() {
        return sum(SourceCounts::refused);
    }

    /** Watches that are open now at all sources. */
    int watches() {
        return (int) sum(SourceCounts::watches);
    }

    long bytes() {
        return sum(SourceCounts::bytes);
    }

    /** The most calls at one source in a second since this was last asked. */
    int busiest() {
        return all.stream()
                .map(SourceStandIn::counts)
                .mapToInt(SourceCounts::busiest)
                .max()
                .orElse(0);
    }

    /** CPU of each source's loop since it began, nanoseconds. */
    long[] cpu() {
        return threads.stream()
                .mapToLong(each -> ManagementFactory.getThreadMXBean().getThreadCpuTime(each))
                .toArray();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

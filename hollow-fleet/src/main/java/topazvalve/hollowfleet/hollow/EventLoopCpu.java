package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/** The CPU time of event loops since their start, in nanoseconds, without garbage collection. */
public final class EventLoopCpu {
    private final List<Long> threadIds = new ArrayList<>();

    /** Adds a loop and waits until its thread runs. Must not be called on the loop itself. */
    public void add(EventLoop loop) {
        threadIds.add(loop.submit(() -> Thread.currentThread().getId())
                .syncUninterruptibly()
                .getNow());
    }

    /** Returns the CPU time of each loop, in the order in which the loops were added. */
    public long[] nanosByLoop() {
        return threadIds.stream()
                .mapToLong(id -> ManagementFactory.getThreadMXBean().getThreadCpuTime(id))
                .toArray();
    }

    /** Returns the total CPU time of all loops. */
    public long totalNanos() {
        long sum = 0;
        for (long nanos : nanosByLoop()) {
            sum += nanos;
        }
        return sum;
    }
}

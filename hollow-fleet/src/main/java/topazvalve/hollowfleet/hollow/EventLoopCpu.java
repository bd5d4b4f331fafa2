package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

/** The CPU time of some event loops since their start, in nanoseconds; garbage collection is not in it. */
public final class EventLoopCpu {
    private final List<Long> threadIds = new ArrayList<>();

    /** Adds a loop, and waits until it runs; not to be called on the loop itself. */
    public void add(EventLoop loop) {
        threadIds.add(loop.submit(() -> Thread.currentThread().getId())
                .syncUninterruptibly()
                .getNow());
    }

    /** Returns the CPU time of each loop, in the order in which they were added. */
    public long[] nanosByLoop() {
        return threadIds.stream()
                .mapToLong(id -> ManagementFactory.getThreadMXBean().getThreadCpuTime(id))
                .toArray();
    }

    /** Returns the CPU time of all loops together. */
    public long totalNanos() {
        long sum = 0;
        for (long nanos : nanosByLoop()) {
            sum += nanos;
        }
        return sum;
    }
}

package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.SimulationFailedException;

/** The one event loop of a run in real time, with its thread, which owns all state of the run. */
final class EventLoopThread {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    /** Returns the event loop. */
    EventLoop loop() {
        return loop;
    }

    /**
     * Runs a task on the event loop and waits for its result. Not to be called on the event loop.
     *
     * @throws SimulationFailedException if the task throws
     */
    <T> T call(Callable<T> task) throws InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new SimulationFailedException(e.getCause().getMessage(), e.getCause());
        }
    }

    /** Runs a task on the event loop and waits for its end, as {@link #call} does. */
    void run(Runnable task) throws InterruptedException {
        call(() -> {
            task.run();
            return null;
        });
    }

    /** Ends the event loop. */
    void close() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}

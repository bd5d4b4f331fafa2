package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.SimulationFailedException;

/** The single event loop of a run in real time and its thread, to which the state of the run is confined. */
final class EventLoopThread {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    /** Returns the event loop. */
    EventLoop loop() {
        return loop;
    }

    /**
     * Runs a task on the event loop and waits for its result. Must not be called on the event loop.
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

    /** Runs a task on the event loop and waits for its completion, like {@link #call}. */
    void run(Runnable task) throws InterruptedException {
        call(() -> {
            task.run();
            return null;
        });
    }

    /** Shuts the event loop down and waits for its end. */
    void close() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
}

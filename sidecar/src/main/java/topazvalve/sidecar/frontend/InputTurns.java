package topazvalve.sidecar.frontend;

import io.netty.channel.EventLoop;
import topazvalve.core.time.TurnQueue;

/**
 * What client connections wait for in turns. Each has a budget of its own, so that no kind of work holds up another.
 *
 * @param small for input in small pieces, by clients that send at full speed
 * @param bulk for large parts of bodies
 * @param forwarding for requests of clients that send at full speed
 */
record InputTurns(TurnQueue small, TurnQueue bulk, PacedForwarding forwarding) {
    private static final double SMALL_FRACTION = 0.25;
    private static final double BULK_FRACTION = 0.5;

    /** Creates empty queues of a process that may use this many processor cores. */
    static InputTurns create(EventLoop loop, double cores) {
        return new InputTurns(
                new TurnQueue(loop, SMALL_FRACTION * Math.min(1, cores)),
                new TurnQueue(loop, BULK_FRACTION * Math.min(1, cores)),
                new PacedForwarding(loop));
    }
}

package topazvalve.simulation.model;

import topazvalve.simulation.scenario.MachineKind;

/** Short pauses of an order server's process, such as garbage collection, at random times and of random length. */
final class PauseGenerator {
    /** A pause lasts the mean length times a factor drawn uniformly between this value and this value plus 1. */
    private static final double MIN_LENGTH_FACTOR = 0.5;

    private final Clock clock;
    private final MachineKind kind;
    private final RandomStream random;
    private final OrderServer server;
    private final ServerSpeed speed;

    PauseGenerator(Clock clock, RandomStream random, OrderServer server, ServerSpeed speed) {
        this.clock = clock;
        this.kind = server.kind();
        this.random = random;
        this.server = server;
        this.speed = speed;
    }

    /** Schedules the first pause, if the kind of machine has pauses; each pause schedules the next one. */
    void start() {
        if (kind.meanPauseInterval() > 0) {
            scheduleNext();
        }
    }

    private void scheduleNext() {
        long at = clock.now() + (long) random.nextExponential(kind.meanPauseInterval());
        clock.scheduleAt(at, () -> {
            long length = (long) (kind.meanPause() * (MIN_LENGTH_FACTOR + random.nextDouble()));
            pause(length);
            scheduleNext();
        });
    }

    private void pause(long nanos) {
        server.advance();
        long endsAt = speed.pauseUntil(clock.now() + nanos);
        server.reschedule();
        clock.scheduleAt(endsAt, () -> {
            server.advance();
            server.reschedule();
        });
    }
}

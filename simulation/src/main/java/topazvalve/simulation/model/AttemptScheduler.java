package topazvalve.simulation.model;

import java.util.ArrayDeque;
import java.util.List;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.MachineKind.Cancel;

/**
 * The attempts that an order server holds: those that run, as many as it has slots, and those queued for a slot. The
 * {@link OrderServer} calls {@link SharedProcessor#advance} before each change to these attempts, and sets the
 * processor to the server's current speed after it.
 */
final class AttemptScheduler {
    private final Clock clock;
    private final MachineKind kind;
    private final OrderServer server;
    private final ConnectionCounter connections;
    private final RandomStream random;
    private final int slots;
    private final int capacity;
    /** Null if the kind of machine caches no keys. */
    private final IdempotencyCache idempotencyCache;

    private final SharedProcessor processor;
    private final ArrayDeque<ServerAttempt> queue = new ArrayDeque<>();
    private double corruptionRate;

    /**
     * Creates the scheduler of an idle server.
     *
     * @param random decides which responses are errors or corrupted
     */
    AttemptScheduler(
            Clock clock,
            OrderServer server,
            ConnectionCounter connections,
            RandomStream random,
            SharedProcessor processor) {
        this.clock = clock;
        this.server = server;
        this.kind = server.kind();
        this.connections = connections;
        this.random = random;
        this.processor = processor;
        this.slots = Math.max(1, (int) Math.round(kind.slotsPerCore() * kind.cores()));
        this.capacity = slots + (int) Math.round(kind.queuePerCore() * kind.cores());
        this.idempotencyCache = kind.cachedKeysPerCore() > 0
                ? new IdempotencyCache(kind.cachedKeysPerCore() * kind.cores(), kind.keyRetention())
                : null;
    }

    /** Returns the number of attempts that are running or queued. */
    int held() {
        return processor.runningCount() + queue.size();
    }

    /** Returns whether a further attempt is rejected because all slots are taken and the queue is full. */
    boolean rejectsNewAttempts() {
        return held() >= capacity && kind.rejectsWhenFull();
    }

    /** Starts or queues an attempt. */
    void add(ServerAttempt attempt) {
        attempt.server = server;
        if (processor.runningCount() < slots) {
            start(attempt);
        } else {
            queue.add(attempt);
        }
    }

    private void start(ServerAttempt attempt) {
        double work = attempt.work + connections.takePendingWork();
        if (idempotencyCache != null && attempt.key != 0 && idempotencyCache.recordAndCheck(attempt.key, clock.now())) {
            work -= attempt.work * kind.cachedKeySaving();
        }
        processor.start(attempt, work);
        attempt.started();
    }

    /** Starts queued attempts while there are free slots. */
    void startQueued() {
        while (processor.runningCount() < slots && !queue.isEmpty()) {
            ServerAttempt next = queue.poll();
            if (kind.honoursDeadline() && clock.now() > next.deadline) {
                next.server = null;
                next.discarded();
            } else {
                start(next);
            }
        }
    }

    /** Completes the attempts that have finished. */
    void completeFinished() {
        processor.removeFinished(this::complete);
    }

    private void complete(ServerAttempt attempt) {
        attempt.server = null;
        boolean success = !random.nextBoolean(kind.errorRate());
        boolean corrupted = random.nextBoolean(corruptionRate);
        attempt.completed(success, corrupted);
    }

    /** Sets the fraction (0 to 1) of responses that are corrupted from now on. */
    void setCorruptionRate(double rate) {
        corruptionRate = rate;
    }

    /** Returns whether the server holds the attempt and its kind of machine stops it on a cancellation. */
    boolean stopsOnCancel(ServerAttempt attempt) {
        boolean stops = kind.cancel() == Cancel.ALL || (kind.cancel() == Cancel.WAITING && !attempt.running);
        return attempt.server == server && stops;
    }

    /** Removes an attempt that the server holds, and starts queued ones in its place. */
    void remove(ServerAttempt attempt) {
        if (attempt.running) {
            processor.remove(attempt);
        } else {
            queue.remove(attempt);
        }
        attempt.server = null;
        attempt.discarded();
        startQueued();
    }

    /** Removes all attempts without responding to them; returns the running ones, followed by the queued ones. */
    List<ServerAttempt> removeAll() {
        List<ServerAttempt> removed = processor.removeAll();
        removed.addAll(queue);
        queue.clear();
        removed.forEach(each -> each.server = null);
        return removed;
    }

    /** Clears the idempotency cache, called when the server's process has started. */
    void processStarted() {
        if (idempotencyCache != null) {
            idempotencyCache.clear();
        }
    }
}

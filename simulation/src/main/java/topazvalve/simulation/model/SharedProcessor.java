package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Processor sharing: the running attempts get equal shares of the cores, and none gets more than one core. All share
 * one running total of work, so that a change of the speed costs one new completion event. The owner calls
 * {@link #advance} before anything that changes the speed or the running attempts, and {@link #run} or {@link #halt}
 * after it.
 */
final class SharedProcessor {
    /** The remaining work at which an attempt counts as finished, since completion times are whole nanoseconds. */
    private static final double ROUNDING_WORK = 0.5;

    private final Clock clock;
    private final int cores;
    private final Runnable onCompletionDue;
    private final List<ServerAttempt> running = new ArrayList<>();

    /** Work that each running attempt has had, in nanoseconds of a standard core. */
    private double progress;

    private long progressAt;
    private double ratePerAttempt;
    private long completionAt = Long.MAX_VALUE;
    private long completionEvent;

    /**
     * Creates an idle processor.
     *
     * @param onCompletionDue runs when the next attempt should have finished
     */
    SharedProcessor(Clock clock, int cores, Runnable onCompletionDue) {
        this.clock = clock;
        this.cores = cores;
        this.onCompletionDue = onCompletionDue;
        this.progressAt = clock.now();
    }

    /** Returns the number of running attempts. */
    int runningCount() {
        return running.size();
    }

    /** Starts an attempt that needs this much work, in nanoseconds of a standard core. */
    void start(ServerAttempt attempt, double work) {
        attempt.finishProgress = progress + work;
        attempt.running = true;
        running.add(attempt);
    }

    void remove(ServerAttempt attempt) {
        running.remove(attempt);
    }

    /** Removes all running attempts and returns them in the order of their start. */
    List<ServerAttempt> removeAll() {
        List<ServerAttempt> removed = new ArrayList<>(running);
        running.clear();
        return removed;
    }

    /** Removes the attempts that have finished, the latest started first, and passes each on. */
    void removeFinished(Consumer<ServerAttempt> onFinished) {
        for (int i = running.size() - 1; i >= 0; i--) {
            ServerAttempt attempt = running.get(i);
            if (attempt.finishProgress <= progress + ROUNDING_WORK) {
                running.remove(i);
                onFinished.accept(attempt);
            }
        }
    }

    /** Brings the progress up to the present and returns the work done for all attempts since the last call. */
    double advance() {
        long now = clock.now();
        double workPerAttempt = ratePerAttempt * (now - progressAt);
        progress += workPerAttempt;
        progressAt = now;
        return workPerAttempt * running.size();
    }

    /** Skips the time since the last call of {@link #advance}: no work was done in it. */
    void skipToPresent() {
        progressAt = clock.now();
    }

    /** No work is done until the next call of {@link #run}. */
    void halt() {
        ratePerAttempt = 0;
        completionAt = Long.MAX_VALUE;
        completionEvent++;
    }

    /**
     * Runs at a speed from now on, and schedules the next completion. At least one attempt must be running.
     *
     * @param speed what all cores do together, in work a nanosecond
     */
    void run(double speed) {
        ratePerAttempt = speed / Math.max(cores, running.size());
        if (ratePerAttempt == 0) {
            halt();
            return;
        }
        long now = clock.now();
        long nextCompletionAt =
                now + Math.max(0, (long) Math.ceil((firstFinishProgress() - progress) / ratePerAttempt));
        if (nextCompletionAt != completionAt) {
            completionAt = nextCompletionAt;
            long event = ++completionEvent;
            clock.scheduleAt(nextCompletionAt, () -> completionDue(event));
        }
    }

    private double firstFinishProgress() {
        double first = Double.MAX_VALUE;
        for (int i = 0; i < running.size(); i++) {
            first = Math.min(first, running.get(i).finishProgress);
        }
        return first;
    }

    private void completionDue(long event) {
        if (event == completionEvent) {
            completionAt = Long.MAX_VALUE;
            onCompletionDue.run();
        }
    }
}

package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Processor sharing: the running attempts get equal shares of the cores, and none gets more than one core. All share
 * one running total of work, so that a change of speed needs only one new completion event. The owner calls
 * {@link #advance} before anything that changes the speed or the running attempts, and {@link #run} or {@link #halt}
 * after it.
 */
final class SharedProcessor {
    /** Attempts with this much work left count as finished, since completion times are rounded to nanoseconds. */
    private static final double ROUNDING_WORK = 0.5;

    private final Clock clock;
    private final int cores;
    private final Runnable onCompletionDue;
    private final List<ServerAttempt> running = new ArrayList<>();

    /** The running total of work per running attempt, in nanoseconds of a standard core. */
    private double progress;

    private long progressAt;
    private double ratePerAttempt;
    private long completionAt = Long.MAX_VALUE;
    private long completionEvent;

    /**
     * Creates an idle processor.
     *
     * @param onCompletionDue runs when the next attempt is due to finish
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

    /** Removes all running attempts and returns them in the order in which they started. */
    List<ServerAttempt> removeAll() {
        List<ServerAttempt> removed = new ArrayList<>(running);
        running.clear();
        return removed;
    }

    /** Removes the attempts that have finished, the latest started first, and passes each to {@code onFinished}. */
    void removeFinished(Consumer<ServerAttempt> onFinished) {
        for (int i = running.size() - 1; i >= 0; i--) {
            ServerAttempt attempt = running.get(i);
            if (attempt.finishProgress <= progress + ROUNDING_WORK) {
                running.remove(i);
                onFinished.accept(attempt);
            }
        }
    }

    /** Advances the progress to the current time and returns the work done for all attempts since the last call. */
    double advance() {
        long now = clock.now();
        double workPerAttempt = ratePerAttempt * (now - progressAt);
        progress += workPerAttempt;
        progressAt = now;
        return workPerAttempt * running.size();
    }

    /** Skips the time since the last call of {@link #advance}, in which no work was done. */
    void skipToNow() {
        progressAt = clock.now();
    }

    /** Stops the processor until the next call of {@link #run}. */
    void halt() {
        ratePerAttempt = 0;
        completionAt = Long.MAX_VALUE;
        completionEvent++;
    }

    /**
     * Runs at a speed from now on, and schedules the next completion. At least one attempt must be running.
     *
     * @param speed the work per nanosecond of all cores together
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

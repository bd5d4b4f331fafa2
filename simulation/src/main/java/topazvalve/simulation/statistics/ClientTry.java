package topazvalve.simulation.statistics;

import topazvalve.simulation.model.RequestGenerator.GeneratedRequest;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.scenario.RequestClassSpec;

/**
 * One try of a client: the first sending of a request, or its retry.
 *
 * @param firstSentAt when the first try was sent, in nanoseconds of the clock
 * @param isRetry whether this is the second try
 */
public record ClientTry(GeneratedRequest generated, long firstSentAt, boolean isRetry) {
    /**
     * Ends a try that was rejected or failed: schedules a retry if client and request class allow it, and otherwise
     * counts the request as rejected or failed.
     *
     * @param retryAfterNanos the Retry-After of the response; 0 for none
     * @param retry sends the request once more
     */
    public void endUnserved(RecordedRun run, Answer answer, long retryAfterNanos, Runnable retry) {
        if (mayRetry(run, answer)) {
            long backoff = run.scenario().clients().backoffNanos(generated.honoursRetryAfter(), retryAfterNanos);
            run.clock().scheduleAt(run.clock().now() + backoff, () -> {
                run.statistics().retrySent();
                retry.run();
            });
        } else if (answer == Answer.REJECTED) {
            run.statistics().requestRejected(generated.requestClass(), run.sinceStart(firstSentAt));
        } else {
            run.statistics().requestFailed(generated.requestClass(), run.sinceStart(firstSentAt));
        }
    }

    private boolean mayRetry(RecordedRun run, Answer answer) {
        RequestClassSpec requestClass = run.scenario().classes().get(generated.requestClass());
        boolean isRetryHarmless = answer == Answer.REJECTED || requestClass.retryIsHarmless();
        return generated.retries() && !isRetry && isRetryHarmless;
    }
}

package topazvalve.sidecar.discovery;

import topazvalve.decisions.Options;

/**
 * How a pushed list is followed. All that its source has counts as told, watch or no watch, so that a source
 * that is back has to be heard within {@code rules.stopSendingWithin}.
 *
 * @param pauseMs from a failure to the next call: a fifth of that time
 * @param connectMs how long a connect may take: half of it
 */
public record Pushed(int pauseMs, int connectMs) {
    /** As these settings ask for; null where lists are not pushed. */
    public static Pushed of(Options options) {
        if (options.settings().discovery() != topazvalve.decisions.Balancer.Discovery.AUTOMATIC) {
            return null;
        }
        int withinMs = (int) (options.settings().limits().drainGrace() / 1_000_000);
        return new Pushed(Math.max(1, withinMs / 5), Math.max(1, withinMs / 2));
    }
}

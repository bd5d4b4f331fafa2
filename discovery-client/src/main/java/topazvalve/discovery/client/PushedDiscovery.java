package topazvalve.discovery.client;

import topazvalve.policy.SettingsReader;

/**
 * How a pushed list is followed. All that its source has counts as told, watch or no watch, so that a source
 * that is back has to be heard within {@code rules.stopSendingWithin}.
 *
 * @param backoffMillis from a failure to the next call: a fifth of that time
 * @param connectTimeoutMillis how long a connect may take: half of it
 */
public record PushedDiscovery(int backoffMillis, int connectTimeoutMillis) {
    /** As these settings ask for; null where lists are not pushed. */
    public static PushedDiscovery of(SettingsReader options) {
        if (options.settings().discoveryMode() != topazvalve.policy.LoadBalancer.DiscoveryMode.AUTOMATIC) {
            return null;
        }
        int withinMs = (int) (options.settings().limits().drainGraceNanos() / 1_000_000);
        return new PushedDiscovery(Math.max(1, withinMs / 5), Math.max(1, withinMs / 2));
    }
}

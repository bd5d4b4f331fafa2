package topazvalve.discovery.client;

import java.util.concurrent.TimeUnit;
import topazvalve.policy.DiscoveryMode;
import topazvalve.policy.SettingsReader;

/**
 * The timing of a watch that {@link DiscoveryClient} keeps open by itself, for discovery modes in which the policy
 * does not subscribe. A sidecar must receive each change within {@code rules.stopSendingWithin}, even if it had no
 * open watch when the change was made. Both times are therefore fractions of that setting.
 *
 * @param backoffMillis the delay between a failure and the next call, in milliseconds
 * @param connectTimeoutMillis the connect timeout, in milliseconds
 */
public record AutomaticWatchTiming(int backoffMillis, int connectTimeoutMillis) {
    private static final int BACKOFF_DIVISOR = 5;
    private static final int CONNECT_TIMEOUT_DIVISOR = 2;

    /** Returns the timing for these settings, or null if the policy subscribes by itself. */
    public static AutomaticWatchTiming of(SettingsReader reader) {
        if (reader.settings().discoveryMode() != DiscoveryMode.AUTOMATIC) {
            return null;
        }
        long graceNanos = reader.settings().limits().drainGraceNanos();
        int graceMillis = (int) TimeUnit.NANOSECONDS.toMillis(graceNanos);
        return new AutomaticWatchTiming(
                Math.max(1, graceMillis / BACKOFF_DIVISOR), Math.max(1, graceMillis / CONNECT_TIMEOUT_DIVISOR));
    }
}

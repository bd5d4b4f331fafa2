package topazvalve.core.exchange;

import topazvalve.policy.Idempotency;
import topazvalve.policy.SettingsReader;

/** The settings of an {@link ExchangeScenario}: one class, whose name is {@link #CLASS_NAME}. */
final class ScenarioSettings {
    static final String CLASS_NAME = "one";

    private static final String SETTINGS = """
            quantum=0
            caps.mayCancel=%s
            caps.tryLimit=%d
            caps.retryAfter=true
            caps.maxRetryAfter=1000000000
            rules.answerSlack=100000000
            rules.askWithin=1000000000
            rules.stopSendingWithin=500000000
            rules.coldShare=0.5
            rules.rampTime=1000000000
            rules.overloadFactor=2
            rules.tipAfter=1000000000
            profiles.count=1
            profiles.0.name=one
            profiles.0.slo=100000000
            profiles.0.deadline=400000000
            profiles.0.keyTtl=1000000000
            profiles.0.keyScope=all
            profiles.0.semantics=%s
            """;

    private ScenarioSettings() {}

    /**
     * Returns settings with one request class.
     *
     * @param maxAttempts maximum number of attempts of a request
     * @param mayCancel whether the policy may cancel attempts
     */
    static SettingsReader of(Idempotency idempotency, int maxAttempts, boolean mayCancel) {
        return new SettingsReader(SETTINGS.formatted(mayCancel, maxAttempts, settingOf(idempotency)));
    }

    /** Returns the value of the semantics setting. */
    private static String settingOf(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "repeatable";
            case IDEMPOTENCY_KEY -> "by_key";
            case NON_IDEMPOTENT -> "once";
        };
    }
}

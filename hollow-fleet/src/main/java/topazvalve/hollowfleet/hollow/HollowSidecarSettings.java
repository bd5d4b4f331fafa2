package topazvalve.hollowfleet.hollow;

import topazvalve.policy.SettingsReader;

/** The policy settings of hollow sidecars. */
final class HollowSidecarSettings {
    private static final String TEXT = String.join(
            "\n",
            "discovery=subscribe",
            "quantum=5000000",
            "caps.tryLimit=4",
            "caps.connectTimeout=200000000",
            "caps.connIdle=5000000000",
            "rules.answerSlack=20000000",
            "rules.stopSendingWithin=500000000",
            "rules.coldShare=0.39",
            "rules.rampTime=7400000000",
            "rules.overloadFactor=4.0",
            "rules.tipAfter=3000000000",
            "rules.askWithin=10000000000",
            "profiles.count=1",
            "profiles.0.name=hollow",
            "profiles.0.slo=400000000",
            "profiles.0.deadline=1000000000",
            "profiles.0.semantics=repeatable");

    private HollowSidecarSettings() {}

    static SettingsReader reader() {
        return new SettingsReader(TEXT);
    }
}

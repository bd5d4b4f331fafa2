package topazvalve.policy;

import java.util.Random;
import java.util.function.Supplier;

/** What all parts of a policy share: its current settings, the host's actions, the random source and the timers. */
record PolicyContext(Supplier<Settings> currentSettings, Actions actions, Random random, TimerQueue timers) {
    Settings settings() {
        return currentSettings.get();
    }
}

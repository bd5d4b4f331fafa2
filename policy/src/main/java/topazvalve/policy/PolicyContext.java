package topazvalve.policy;

import java.util.Random;
import java.util.function.Supplier;

/** What all parts of one policy share: its current settings, the host's actions, one random source, the timers. */
record PolicyContext(Supplier<Settings> currentSettings, Actions actions, Random random, TimerQueue timers) {
    Settings settings() {
        return currentSettings.get();
    }
}

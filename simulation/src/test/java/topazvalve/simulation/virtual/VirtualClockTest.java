package topazvalve.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Compares the clock and the fixed-delay queue with simple reference implementations. */
class VirtualClockTest {
    private static final long START = 1_000_000_000_000L;

    /** Events, some of which schedule further ones, run in the order of time and then of scheduling. */
    @Property(tries = 300, seed = "42")
    void eventsRunInOrderOfTimeAndScheduling(
            @ForAll @Size(max = 60) List<@LongRange(min = 0, max = 5_000_000_000L) Long> delays) {
        VirtualClock clock = new VirtualClock(START);
        List<String> ran = new ArrayList<>();
        for (int i = 0; i < delays.size(); i++) {
            long delay = delays.get(i);
            String name = "e" + i;
            clock.scheduleAt(START + delay, () -> {
                ran.add(name + "@" + (clock.now() - START));
                clock.scheduleAt(clock.now() + delay / 2, () -> ran.add(name + "b@" + (clock.now() - START)));
            });
        }
        clock.runUntil(START + 10_000_000_000L);
        // The reference: repeatedly takes the earliest event; of several at the same time, the one scheduled first.
        List<String> expected = new ArrayList<>();
        record Due(long at, long serial, String name, long again) {}
        TreeSet<Due> due =
                new TreeSet<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
        long serial = 0;
        for (int i = 0; i < delays.size(); i++) {
            due.add(new Due(delays.get(i), serial++, "e" + i, delays.get(i) / 2));
        }
        while (!due.isEmpty()) {
            Due first = due.pollFirst();
            expected.add(first.name + "@" + first.at);
            if (first.again >= 0) {
                due.add(new Due(first.at + first.again, serial++, first.name + "b", -1));
            }
        }
        assertEquals(expected, ran);
    }

    /** Items that are removed in time are never due; the others are due once, at their times, in order. */
    @Property(tries = 300, seed = "42")
    void fixedDelayQueueDeliversItemsThatWereNotRemoved(
            @ForAll @Size(max = 80) List<@LongRange(min = 1, max = 400_000_000L) Long> gaps) {
        VirtualClock clock = new VirtualClock(START);
        List<String> due = new ArrayList<>();
        FixedDelayQueue<String> queue =
                new FixedDelayQueue<>(clock, 300_000_000, name -> due.add(name + "@" + (clock.now() - START)));
        List<String> expected = new ArrayList<>();
        long at = 0;
        for (int i = 0; i < gaps.size(); i++) {
            at += gaps.get(i);
            String name = "t" + i;
            boolean removed = gaps.get(i) % 3 == 0;
            clock.scheduleAt(START + at, () -> {
                long number = queue.add(name);
                if (removed) {
                    clock.scheduleAt(clock.now() + 200_000_000, () -> queue.remove(number));
                }
            });
            if (!removed) {
                expected.add(name + "@" + (at + 300_000_000));
            }
        }
        clock.runUntil(START + at + 1_000_000_000);
        assertEquals(expected, due);
    }
}

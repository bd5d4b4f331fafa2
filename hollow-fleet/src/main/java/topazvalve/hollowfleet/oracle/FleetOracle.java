package topazvalve.hollowfleet.oracle;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * Judges what instances have in force against what their sources had, and when. Told from many loops; all
 * times are the caller's, in nanoseconds on the clock that {@link ChangeHistory} is written by.
 */
public final class FleetOracle {
    private static final int EXAMPLES = 5;

    private final ChangeHistory truth;
    private final Allowed allowed;
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Finding> examples = new ArrayList<>();

    /** One thing found wrong: what, when (nanoseconds) and with whom. */
    public record Finding(Rule rule, long at, String text) {}

    public FleetOracle(ChangeHistory truth, Allowed allowed) {
        this.truth = truth;
        this.allowed = allowed;
    }

    public Allowed allowed() {
        return allowed;
    }

    /** An entry took another's place at an instance: change {@code now} after {@code before}, 0 for none. */
    public void replaced(
            int instance, int server, int before, EndpointStatus had, int now, EndpointStatus has, long at) {
        boolean said = before == 0 || truth.state(before) == EndpointStatus.READY;
        if (now <= before && has == EndpointStatus.READY && had != EndpointStatus.READY && !said) {
            found(
                    Rule.RETURNED,
                    at,
                    "instance " + instance + ": " + Names.of(server) + " is ready by change " + now
                            + ", which is no newer than change " + before + " that made it " + had);
        } else if (now < before) {
            found(
                    Rule.WENT_BACK,
                    at,
                    "instance " + instance + ": " + Names.of(server) + " went from change " + before + " back to "
                            + now);
        }
    }

    /**
     * The changes that have to be in force now with everyone whose source could be reached all the while: for
     * each server its newest one that is old enough; 0 where there is none, or where {@code owed} is not 1.
     */
    public int[] due(long now, IntUnaryOperator owed) {
        int[] due = new int[truth.servers()];
        for (int server = 0; server < due.length; server++) {
            due[server] = owed.applyAsInt(server) == 1 ? truth.asOf(server, now - allowed.late()) : 0;
        }
        return due;
    }

    /** Whether one change that is due is in force, or a newer one of the same server. */
    public boolean inForce(int due, int held, EndpointStatus state) {
        return due < held || (due == held && (due == 0 || truth.state(due) == state));
    }

    /** An instance lacks changes that are due; {@code missing} is one of {@code count}. */
    public void late(int instance, int missing, int count, long at) {
        found(
                Rule.CHANGE_LATE,
                at,
                String.format(
                        Locale.ROOT,
                        "instance %d: change %d of %s is not in force %.1f s after it was made, %d such at once",
                        instance,
                        missing,
                        Names.of(truth.server(missing)),
                        (at - truth.at(missing)) / 1e9,
                        count));
    }

    /** So many calls have come in a second to one that can do {@code capacity}; 0 is unbounded. */
    public void called(String who, int inSecond, double capacity, long at) {
        if (capacity > 0 && inSecond == (int) capacity + 1) {
            found(
                    Rule.SERVING_RATE,
                    at,
                    who + ": " + inSecond + " calls in a second and more to come, where " + capacity + " can be done");
        }
    }

    /** What an instance read and wrote in the seconds of the window; true if that is found wrong. */
    public boolean bytes(int instance, long inWindow, long at) {
        double average = inWindow / (double) allowed.windowSeconds();
        if (average > allowed.bytesPerSecond()) {
            found(
                    Rule.CONTROL_BYTES,
                    at,
                    String.format(
                            Locale.ROOT,
                            "instance %d: %.0f bytes a second over %d s, where %.0f are allowed",
                            instance,
                            average,
                            allowed.windowSeconds(),
                            allowed.bytesPerSecond()));
            return true;
        }
        return false;
    }

    private synchronized void found(Rule rule, long at, String text) {
        if (counts.merge(rule, 1, Integer::sum) <= EXAMPLES) {
            examples.add(new Finding(rule, at, text));
        }
    }

    /** How often each rule was broken so far; rules that held are left out. */
    public synchronized Map<Rule, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** The first few findings of each rule. */
    public synchronized List<Finding> examples() {
        return List.copyOf(examples);
    }
}

package topazvalve.simulation.oracle;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.simulation.scenario.Scenario.Limits;
import topazvalve.simulation.scenario.WorkClass.Repeats;
import topazvalve.simulation.scenario.WorkClass.Scope;

/**
 * Judges a run by what servers received and clients were answered. It is told nothing by the program and
 * believes nothing that the program says. All times are given by the caller, on one clock; one thread.
 */
public final class Oracle {
    /** How an answer reads to the client. */
    public enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Breaches that are kept whole; the rest is counted. */
    private static final int KEPT = 100;
    /** The part of a request's time after which giving it up unsent counts as holding its answer back. */
    private static final double HELD_BACK = 0.5;
    /** Two thirds of a cold server's load must come from those who knew for it to be their fault. */
    private static final double INFORMED = 2.0 / 3;

    /** So long after its client left an attempt, first or further, may begin: the standing page. */
    private static final long LEFT_GRACE = 100_000_000;

    private final Limits limits;
    private final long tolerance;
    private final long flight;
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Violation> breaches = new ArrayList<>();
    private final Map<Long, Long> drains = new HashMap<>();
    private long requests;

    /**
     * An oracle that has seen nothing.
     *
     * @param tolerance nanoseconds that every limit is longer by: what the measuring itself may be off
     * @param flight how long an attempt may be under way before a server has it whole
     */
    public Oracle(Limits limits, long tolerance, long flight) {
        this.limits = limits;
        this.tolerance = tolerance;
        this.flight = flight;
    }

    private void broken(Rule rule, long at, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (breaches.size() < KEPT) {
            breaches.add(new Violation(rule, at, what));
        }
    }

    /** A client has sent a request. */
    public void sent(Trace trace) {
        requests++;
    }

    /**
     * A server has an attempt whole.
     *
     * @param mayRun whether it took it; one that was turned away unseen never ran
     */
    public void received(Trace trace, long server, int zone, int pod, boolean mayRun, long at) {
        trace.attempts++;
        trace.remember(server, at);
        if (trace.attempts > limits.attempts()) {
            broken(Rule.ATTEMPTS, at, trace.attempts + " attempts: " + trace.describe());
        }
        if (trace.answered() && at > trace.answeredAt + flight + tolerance) {
            broken(Rule.NOTHING_AFTER, at, "sent after its answer: " + trace.describe());
        }
        if (at - LEFT_GRACE - flight - tolerance > trace.leftAt) {
            broken(
                    Rule.CLIENT_LEFT,
                    at,
                    (at - trace.leftAt) / 1_000_000 + " ms after its client left, attempt " + trace.attempts + ": "
                            + trace.describe());
        }
        if (trace.mayHaveRun > 0) {
            repeated(trace, zone, pod, at);
        }
        Long told = drains.get(drainKey(trace.instance, server));
        if (told != null && at > told + limits.drainGrace() + flight + tolerance) {
            broken(
                    Rule.DRAIN,
                    at,
                    (at - told) / 1_000_000 + " ms after it was told of server " + server + ": " + trace.describe());
        }
        if (mayRun) {
            if (!trace.everMayHaveRun) {
                trace.firstAt = at;
                trace.pod = pod;
                trace.zone = zone;
            }
            trace.mayHaveRun++;
            trace.everMayHaveRun = true;
        }
    }

    /**
     * The network has taken an attempt on, which may never arrive: who waits for its answer holds nothing
     * back.
     */
    public void carried(Trace trace) {
        trace.carried = true;
    }

    private void repeated(Trace trace, int zone, int pod, long at) {
        Repeats repeats = trace.requestClass.repeats();
        if (repeats == Repeats.NEVER) {
            broken(Rule.NEVER_TWICE, at, trace.describe());
        } else if (repeats == Repeats.KEYED) {
            Scope scope = trace.requestClass.scope();
            boolean elsewhere = (scope == Scope.ZONE && zone != trace.zone) || (scope == Scope.POD && pod != trace.pod);
            if (elsewhere || at - trace.firstAt > trace.requestClass.window() + flight + tolerance) {
                broken(
                        Rule.KEYED_REPEAT,
                        at,
                        (elsewhere ? "in another " + scope : "after the window") + ": " + trace.describe());
            }
        }
    }

    /** An attempt that a server had taken turned out never to run: it said so, or had dropped it. */
    public void neverRan(Trace trace) {
        trace.mayHaveRun--;
        trace.everMayHaveRun = trace.mayHaveRun > 0;
    }

    /** A server has sent its answer to an attempt. */
    public void served(Trace trace) {
        trace.servedByServer = true;
    }

    /** The client has a whole answer. */
    public void answered(Trace trace, Answer answer, long at) {
        trace.answers++;
        if (trace.answers > 1) {
            broken(Rule.ANSWERED_ONCE, at, "answered again: " + trace.describe());
            return;
        }
        trace.answeredAt = at;
        if (at > trace.deadline + limits.answerSlack() + tolerance) {
            broken(Rule.ANSWERED, at, "answered late: " + trace.describe());
        }
        if (answer == Answer.SERVED && !trace.servedByServer) {
            broken(Rule.TRUE_ANSWER, at, "served by no server: " + trace.describe());
        }
        Repeats repeats = trace.requestClass.repeats();
        boolean harmful =
                repeats == Repeats.NEVER || (repeats == Repeats.KEYED && trace.requestClass.scope() != Scope.ALL);
        if (answer == Answer.REFUSED && harmful && trace.everMayHaveRun) {
            broken(Rule.HARMLESS_REFUSAL, at, trace.describe());
        }
        if (answer != Answer.SERVED
                && trace.attempts == 0
                && !trace.carried
                && at - trace.sentAt > HELD_BACK * (trace.deadline - trace.sentAt) + tolerance) {
            broken(Rule.AT_ONCE, at, "given up, and held back: " + trace.describe());
        }
    }

    /** The client has what no order server gave for this request. */
    public void forged(Trace trace, long at) {
        broken(Rule.TRUE_ANSWER, at, "not the answer made for it: " + trace.describe());
    }

    /** The client has left: it expects no answer, and nothing is to be done for it any more. */
    public void left(Trace trace, long at) {
        trace.leftAt = at;
        excused(trace);
    }

    /** Nobody can expect an answer: the sidecar was killed, or the client has left. */
    public void excused(Trace trace) {
        trace.excused = true;
    }

    /** A request's time is over; called once its deadline and the slack are past. */
    public void expired(Trace trace, long at) {
        if (!trace.answered() && !trace.excused) {
            trace.excused = true;
            broken(Rule.ANSWERED, at, "never answered: " + trace.describe());
        }
    }

    /** An instance has been told that a server drains or is gone; only the first time counts. */
    public void drainTold(int instance, long server, long at) {
        drains.putIfAbsent(drainKey(instance, server), at);
    }

    /** An instance has been told that a server is ready, or has itself started anew. */
    public void readyTold(int instance, long server) {
        drains.remove(drainKey(instance, server));
    }

    private static long drainKey(int instance, long server) {
        return server * 100_000 + instance;
    }

    /** A cold server was pushed over; {@code informed} is the part of the work from those who knew. */
    public void fell(long server, double informed, long at) {
        if (informed >= INFORMED) {
            broken(
                    Rule.COLD,
                    at,
                    "server " + server + " was pushed over, " + Math.round(informed * 100)
                            + " in 100 by who knew that it was cold");
        }
    }

    /** How many requests it has seen. */
    public long requests() {
        return requests;
    }

    /** How often each rule was broken; rules that held are not there. */
    public Map<Rule, Integer> counts() {
        return Map.copyOf(counts);
    }

    /** The first breaches, with what broke the rule. */
    public List<Violation> breaches() {
        return List.copyOf(breaches);
    }
}

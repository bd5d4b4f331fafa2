package topazvalve.simulation.oracle;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.RequestClassSpec.Repeatability;
import topazvalve.simulation.scenario.RequestClassSpec.Scope;
import topazvalve.simulation.scenario.Scenario.Limits;

/**
 * Checks a run against the rules by what servers and clients observed; nothing that the sidecar reports is used. All
 * times are nanoseconds on one clock that the caller chooses. Not thread-safe.
 */
public final class Oracle {
    /** What a response means to the client. */
    public enum Answer {
        SERVED,
        REJECTED,
        FAILED
    }

    /** Further violations are counted, but not recorded. */
    private static final int MAX_VIOLATIONS = 100;
    /** A request that is never sent to a server must be answered within this fraction of its time to the deadline. */
    private static final double MAX_UNSENT_FRACTION = 0.5;
    /**
     * A crash violates {@link Rule#COLD} if the senders of at least this fraction of the cold server's load knew of its
     * start.
     */
    private static final double MIN_INFORMED_FRACTION = 2.0 / 3;
    /** How long after the client disconnected an attempt, the first one or a retry, may still begin. */
    private static final long DISCONNECT_GRACE_NANOS = 100_000_000;

    /** How long after the client's deadline an attempt may begin, and the slack of the time told to a server. */
    private static final long DEADLINE_SLACK_NANOS = 150_000_000;
    /** Measurement error of the arrival of bytes on loopback. */
    private static final long ARRIVAL_ERROR_NANOS = 10_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** An upper bound of the number of instances, by which an instance and a server make a unique key. */
    private static final long INSTANCE_LIMIT = 100_000;

    private final Limits limits;
    private final long toleranceNanos;
    private final long maxFlightNanos;
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Violation> violations = new ArrayList<>();
    private final Map<Long, Long> drainNotifiedAt = new HashMap<>();
    private long requests;

    /**
     * Creates an oracle that has seen nothing.
     *
     * @param toleranceNanos the measurement error, by which every limit is extended
     * @param maxFlightNanos how long an attempt may be in flight before a server has received it completely
     */
    public Oracle(Limits limits, long toleranceNanos, long maxFlightNanos) {
        this.limits = limits;
        this.toleranceNanos = toleranceNanos;
        this.maxFlightNanos = maxFlightNanos;
    }

    private void reportViolation(Rule rule, long at, Trace trace, String description) {
        reportLate(rule, at, trace, 0, description);
    }

    private void reportLate(Rule rule, long at, Trace trace, long excessNanos, String description) {
        report(new Violation(rule, at, trace.sentAt, trace.instance, excessNanos, description));
    }

    private void report(Violation violation) {
        counts.merge(violation.rule(), 1, Integer::sum);
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(violation);
        }
    }

    /** A client has sent a request. */
    public void requestSent(Trace trace) {
        requests++;
    }

    /**
     * A server has received an attempt completely.
     *
     * @param zone the server's zone
     * @param pod the server's pod
     * @param mayRun false if the server rejected it without running it
     */
    public void attemptReceived(Trace trace, long server, int zone, int pod, boolean mayRun, long at) {
        trace.attempts++;
        trace.recordAttempt(server, at);
        checkAttemptCount(trace, at);
        checkNotAfterResponse(trace, at);
        checkClientConnected(trace, at);
        if (trace.attemptsMayHaveRun > 0) {
            checkRepeat(trace, zone, pod, at);
        }
        checkNotDraining(trace, server, at);
        if (mayRun) {
            if (!trace.mayHaveRun) {
                trace.firstRunAt = at;
                trace.firstPod = pod;
                trace.firstZone = zone;
            }
            trace.attemptsMayHaveRun++;
            trace.mayHaveRun = true;
        }
    }

    /**
     * The first bytes of an attempt have arrived at a server, before any simulated delay.
     *
     * @param toldNanos how long the sidecar says that it will wait
     * @param at the earliest time at which they can have arrived
     */
    public void bytesArrived(Trace trace, long toldNanos, long at) {
        // Subtracted, since disconnectedAt is Long.MAX_VALUE while the client is connected.
        long earliest = at - ARRIVAL_ERROR_NANOS;
        if (earliest - DISCONNECT_GRACE_NANOS > trace.disconnectedAt) {
            long millis = (at - trace.disconnectedAt) / NANOS_PER_MILLI;
            reportLate(
                    Rule.CLIENT_LEFT,
                    at,
                    trace,
                    earliest - DISCONNECT_GRACE_NANOS - trace.disconnectedAt,
                    "bytes " + millis + " ms after the client disconnected: " + trace.describe());
        }
        long sinceDeadline = earliest - trace.deadline;
        if (sinceDeadline > DEADLINE_SLACK_NANOS) {
            reportLate(
                    Rule.AFTER_DEADLINE,
                    at,
                    trace,
                    sinceDeadline - DEADLINE_SLACK_NANOS,
                    "bytes " + sinceDeadline / NANOS_PER_MILLI + " ms after the deadline: " + trace.describe());
        } else if (toldNanos + sinceDeadline > DEADLINE_SLACK_NANOS) {
            reportLate(
                    Rule.TIME_TOLD,
                    at,
                    trace,
                    toldNanos + sinceDeadline - DEADLINE_SLACK_NANOS,
                    "told " + toldNanos / NANOS_PER_MILLI + " ms, left " + -sinceDeadline / NANOS_PER_MILLI + " ms: "
                            + trace.describe());
        }
    }

    private void checkAttemptCount(Trace trace, long at) {
        if (trace.attempts > limits.attempts()) {
            reportViolation(Rule.ATTEMPTS, at, trace, trace.attempts + " attempts: " + trace.describe());
        }
    }

    private void checkNotAfterResponse(Trace trace, long at) {
        if (trace.answered() && at > trace.responseAt + maxFlightNanos + toleranceNanos) {
            reportViolation(Rule.NOTHING_AFTER, at, trace, "attempt after the response: " + trace.describe());
        }
    }

    private void checkClientConnected(Trace trace, long at) {
        // Subtracted, since disconnectedAt is Long.MAX_VALUE while the client is connected.
        if (at - DISCONNECT_GRACE_NANOS - maxFlightNanos - toleranceNanos > trace.disconnectedAt) {
            long millis = (at - trace.disconnectedAt) / NANOS_PER_MILLI;
            reportViolation(
                    Rule.CLIENT_LEFT,
                    at,
                    trace,
                    "attempt " + trace.attempts + " " + millis + " ms after the client disconnected: "
                            + trace.describe());
        }
    }

    private void checkNotDraining(Trace trace, long server, long at) {
        Long notifiedAt = drainNotifiedAt.get(notificationKey(trace.instance, server));
        if (notifiedAt != null && at > notifiedAt + limits.drainGrace() + maxFlightNanos + toleranceNanos) {
            long millis = (at - notifiedAt) / NANOS_PER_MILLI;
            reportViolation(
                    Rule.DRAIN,
                    at,
                    trace,
                    "attempt " + millis + " ms after the notification that server " + server + " drains or is removed: "
                            + trace.describe());
        }
    }

    private void checkRepeat(Trace trace, int zone, int pod, long at) {
        RequestClassSpec requestClass = trace.requestClass;
        if (requestClass.repeatability() == Repeatability.NEVER) {
            reportViolation(Rule.NEVER_TWICE, at, trace, trace.describe());
        } else if (requestClass.repeatability() == Repeatability.KEYED) {
            Scope scope = requestClass.scope();
            boolean isOutOfScope =
                    (scope == Scope.ZONE && zone != trace.firstZone) || (scope == Scope.POD && pod != trace.firstPod);
            long windowEnd = requestClass.repeatWindow() + maxFlightNanos + toleranceNanos;
            if (isOutOfScope) {
                reportViolation(Rule.KEYED_REPEAT, at, trace, "repeated in another " + scope + ": " + trace.describe());
            } else if (at - trace.firstRunAt > windowEnd) {
                reportViolation(Rule.KEYED_REPEAT, at, trace, "repeated after the window: " + trace.describe());
            }
        }
    }

    /** An attempt has been sent. It may never arrive, and the request may wait for it until the deadline. */
    public void attemptInFlight(Trace trace) {
        trace.attemptInFlight = true;
    }

    /** A server that had accepted an attempt has discarded it before it ran. */
    public void attemptNeverRan(Trace trace) {
        trace.attemptsMayHaveRun--;
        trace.mayHaveRun = trace.attemptsMayHaveRun > 0;
    }

    /** A server has sent its response to an attempt. */
    public void responseSent(Trace trace) {
        trace.servedByServer = true;
    }

    /** The client has received a complete response. */
    public void responseReceived(Trace trace, Answer answer, long at) {
        trace.responses++;
        if (trace.responses > 1) {
            reportViolation(Rule.ANSWERED_ONCE, at, trace, "more than one response: " + trace.describe());
            return;
        }
        trace.responseAt = at;
        long lateNanos = at - trace.deadline - limits.responseSlack() - toleranceNanos;
        if (!trace.delayExcused && lateNanos > 0) {
            reportLate(Rule.ANSWERED, at, trace, lateNanos, "response after the deadline: " + trace.describe());
        }
        if (answer == Answer.SERVED && !trace.servedByServer) {
            reportViolation(
                    Rule.TRUE_ANSWER, at, trace, "successful response, but no server sent one: " + trace.describe());
        }
        if (answer == Answer.REJECTED && trace.mayHaveRun && !trace.requestClass.retryIsHarmless()) {
            reportViolation(Rule.HARMLESS_REFUSAL, at, trace, trace.describe());
        }
        long heldNanos = heldTooLongNanos(trace, at);
        if (answer != Answer.SERVED && !trace.delayExcused && heldNanos > 0) {
            reportLate(
                    Rule.AT_ONCE,
                    at,
                    trace,
                    heldNanos,
                    "given up without an attempt after more than half of its time: " + trace.describe());
        }
    }

    /** Returns for how much too long a request was held that was never sent to a server; 0 or less if it was not. */
    private long heldTooLongNanos(Trace trace, long at) {
        boolean unsent = trace.attempts == 0 && !trace.attemptInFlight;
        double maxNanos = MAX_UNSENT_FRACTION * (trace.deadline - trace.sentAt) + toleranceNanos;
        return unsent ? (long) Math.ceil(at - trace.sentAt - maxNanos) : 0;
    }

    /** The client has received a response that no server sent for this request. */
    public void responseForged(Trace trace, long at) {
        reportViolation(
                Rule.TRUE_ANSWER, at, trace, "response that no server sent for this request: " + trace.describe());
    }

    /**
     * A sidecar has closed the connection of an attempt after its server has written the head of a sound response and
     * before it could write the rest. Nothing permits that while the client waits and the request has no other attempt.
     *
     * @param at when it was closed
     */
    public void responseCutOff(Trace trace, long at) {
        // An attempt is given up some milliseconds before the deadline, so that the answer arrives in time.
        boolean clientWaits = at <= trace.deadline - toleranceNanos && at <= trace.disconnectedAt;
        if (clientWaits && trace.attempts == 1 && !trace.delayExcused && !trace.responseWaived) {
            reportViolation(Rule.CUT_OFF, at, trace, "closed between head and body: " + trace.describe());
        }
    }

    /**
     * The first bytes of a request of a client that is not part of the load have arrived at a server.
     *
     * @param closedAt when the client closed its connection, with this request and others unread
     * @param at the earliest time at which the bytes can have arrived
     */
    public void departedClientServed(int instance, String id, long closedAt, long at) {
        if (at - ARRIVAL_ERROR_NANOS - DISCONNECT_GRACE_NANOS > closedAt) {
            String what = "bytes of " + id + " " + (at - closedAt) / NANOS_PER_MILLI + " ms after its client closed";
            long excessNanos = at - ARRIVAL_ERROR_NANOS - DISCONNECT_GRACE_NANOS - closedAt;
            report(new Violation(Rule.CLIENT_LEFT, at, closedAt, instance, excessNanos, what));
        }
    }

    /** The client has disconnected: it needs no response, and no further attempt may begin. */
    public void clientDisconnected(Trace trace, long at) {
        trace.disconnectedAt = at;
        waiveResponse(trace);
    }

    /** The sidecar was held up while the request was open: its answer may be late, for it could not run. */
    public void excuseDelay(Trace trace) {
        trace.delayExcused = true;
    }

    /** The client has closed its connection at its deadline; the response is still owed. */
    public void clientClosed(Trace trace, long at) {
        trace.disconnectedAt = Math.min(trace.disconnectedAt, at);
    }

    /** A request needs no response, because the sidecar was killed or the client has disconnected. */
    public void waiveResponse(Trace trace) {
        trace.responseWaived = true;
    }

    /** The deadline of a request and the slack after it have passed. */
    public void deadlinePassed(Trace trace, long at) {
        if (!trace.answered() && !trace.responseWaived && !trace.delayExcused) {
            trace.responseWaived = true;
            reportViolation(Rule.ANSWERED, at, trace, "no response: " + trace.describe());
        }
    }

    /** An instance has been notified that a server drains or is removed. Only the first notification counts. */
    public void drainNotified(int instance, long server, long at) {
        drainNotifiedAt.putIfAbsent(notificationKey(instance, server), at);
    }

    /** An instance has been notified that a server is ready, or has restarted itself. */
    public void readyNotified(int instance, long server) {
        drainNotifiedAt.remove(notificationKey(instance, server));
    }

    private static long notificationKey(int instance, long server) {
        return server * INSTANCE_LIMIT + instance;
    }

    /**
     * A server has crashed under overload while it was cold.
     *
     * @param informedFraction the fraction (0 to 1) of its load whose senders knew of its start
     */
    public void serverCrashedWhileCold(long server, double informedFraction, long at) {
        if (informedFraction >= MIN_INFORMED_FRACTION) {
            long percent = Math.round(informedFraction * 100);
            report(new Violation(
                    Rule.COLD,
                    at,
                    at,
                    Violation.NO_INSTANCE,
                    0,
                    "server " + server + " crashed under overload; the senders of " + percent
                            + "% of its load knew that it was cold"));
        }
    }

    /** Returns the number of requests that clients have sent. */
    public long requests() {
        return requests;
    }

    /** Returns how often each rule was violated; rules that held are absent. */
    public Map<Rule, Integer> counts() {
        return Map.copyOf(counts);
    }

    /** Returns the first violations, at most 100, in the order in which they were found. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }
}

package topazvalve.simulation.statistics;

import java.util.Arrays;
import java.util.List;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;

/**
 * Records a run, on either clock, for the oracle, the statistics and the result. Times are nanoseconds from the start
 * of the run. Not thread-safe.
 */
public final class RunRecorder {
    private static final int COUNTER_ARRAY_GROWTH = 16;

    private final Topology topology;
    private final Oracle oracle;
    private final RunStatistics statistics;
    private final ResponseDigest digest = new ResponseDigest();
    /** Indexed by the server's id. */
    private long[] attemptsByServer;

    /**
     * Creates the recorder of a run that has not started.
     *
     * @param serverIds the initial number of attempt counters, one per server id; more are added as needed
     */
    public RunRecorder(Topology topology, Oracle oracle, int serverIds) {
        this.topology = topology;
        this.oracle = oracle;
        this.statistics = new RunStatistics(topology.scenario());
        this.attemptsByServer = new long[serverIds];
    }

    /** Returns the oracle that checks the run. */
    public Oracle oracle() {
        return oracle;
    }

    /** Returns the statistics of the run. */
    public RunStatistics statistics() {
        return statistics;
    }

    /** Returns the digest of the run's responses. */
    public ResponseDigest digest() {
        return digest;
    }

    /**
     * A server has received an attempt completely.
     *
     * @param mayRun false if the server rejected it
     */
    public void attemptReceived(Trace trace, OrderServer server, boolean mayRun, long at) {
        int id = (int) server.id();
        if (id >= attemptsByServer.length) {
            attemptsByServer = Arrays.copyOf(attemptsByServer, id + COUNTER_ARRAY_GROWTH);
        }
        attemptsByServer[id]++;
        statistics.attemptReceived(at);
        oracle.attemptReceived(
                trace, server.id(), server.pod().zone(), server.pod().number(), mayRun, at);
    }

    /** An instance has been notified of an endpoint. */
    public void endpointNotified(int instance, Entry entry, long at) {
        if (entry.state() == EndpointStatus.READY) {
            oracle.readyNotified(instance, entry.server().id());
        } else {
            oracle.drainNotified(instance, entry.server().id(), at);
        }
    }

    /** An instance was killed and has lost its endpoint list. */
    public void instanceKilled(int instance) {
        topology.fleet().servers().forEach(each -> oracle.readyNotified(instance, each.id()));
    }

    /** An instance has restarted, with the current endpoint list as its cached one. */
    public void instanceRestarted(int instance, long at) {
        for (Entry each : topology.directory().entries()) {
            if (each.state() != EndpointStatus.READY) {
                oracle.drainNotified(instance, each.server().id(), at);
            }
        }
    }

    /**
     * A server has crashed under overload while it was cold.
     *
     * @param informedFraction the fraction (0 to 1) of its load whose senders knew of its start
     */
    public void serverCrashedWhileCold(OrderServer server, double informedFraction, long at) {
        oracle.serverCrashedWhileCold(server.id(), informedFraction, at);
        topology.recordEvent(at, "server " + server.id() + " crashed under overload while cold");
    }

    /**
     * Returns the outcome of the run.
     *
     * @param faults the faults that were injected
     * @param clockEvents the number of events that the virtual clock ran; 0 in real time
     * @param wallNanos how long the run took in wall-clock time
     */
    public RunResult result(String arm, long seed, List<Fault> faults, long clockEvents, long wallNanos) {
        Scenario scenario = topology.scenario();
        return new RunResult(
                scenario.name(),
                arm,
                seed,
                statistics,
                oracle.counts(),
                oracle.violations(),
                faults,
                topology.recordedEvents(),
                digest.value(),
                oracle.requests(),
                clockEvents,
                wallNanos,
                attemptsByServer);
    }
}

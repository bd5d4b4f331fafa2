package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import topazvalve.capacity.demand.Quantity;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Load;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.simulation.statistics.RunStatistics;
import topazvalve.simulation.virtual.ExperimentArm;
import topazvalve.simulation.virtual.VirtualSimulation;

/**
 * Measures in virtual time how many new connections a call needs, depending on the calls per second between one sidecar
 * and one server. Rare calls need more, since connections are closed after an idle timeout. The same seed gives the
 * same result.
 */
final class ConnectionMeasurement {
    private static final long SEED = 5;
    private static final double[] CALLS_PER_SECOND_AND_PAIR = {0.0234, 0.0667, 0.267, 1, 3};
    private static final String SCENARIO = "simulation/capacity/connections.toml";

    private ConnectionMeasurement() {}

    /** Measures all rates; a quick run skips the highest one. */
    static void run(MeasurementContext context) throws IOException {
        Path file = context.repositoryRoot().resolve(SCENARIO);
        MeasurementRecorder recorder = context.recorder();
        recorder.beginSection("virtual time, " + file.getFileName());
        Scenario scenario = ScenarioFile.read(file);
        int rates = CALLS_PER_SECOND_AND_PAIR.length - (context.quick() ? 1 : 0);
        for (int i = 0; i < rates; i++) {
            double rate = CALLS_PER_SECOND_AND_PAIR[i];
            recorder.record(Quantity.CONNECTIONS_PER_CALL, rate, connectionsPerCall(scenario, rate));
        }
    }

    /** Returns the new connections per attempt, at a rate of calls between one sidecar and one server. */
    static double connectionsPerCall(Scenario scenario, double callsPerSecondAndPair) {
        double callsPerSecond = callsPerSecondAndPair * scenario.fleet().servers();
        VirtualSimulation simulation =
                new VirtualSimulation(withLoad(scenario, callsPerSecond), ExperimentArm.of(Policy.MODULE), SEED);
        RunStatistics.Sums sums = simulation.run().statistics().sums();
        return (double) sums.connections() / Math.max(1, sums.attempts());
    }

    private static Scenario withLoad(Scenario scenario, double callsPerSecond) {
        Load load = scenario.load();
        return new Scenario(
                scenario.name(),
                scenario.description(),
                scenario.length(),
                scenario.settlingTime(),
                scenario.fleet(),
                new Load(
                        callsPerSecond,
                        0,
                        load.shape(),
                        load.amplitude(),
                        load.period(),
                        load.instanceSpread(),
                        load.keys(),
                        load.zipfExponent()),
                scenario.network(),
                scenario.discovery(),
                scenario.limits(),
                scenario.machines(),
                scenario.classes(),
                scenario.clients(),
                scenario.faults(),
                scenario.chaos());
    }
}

package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import topazvalve.capacity.need.Quantity;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Load;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.simulation.tally.RunStatistics;
import topazvalve.simulation.virtual.ExperimentArm;
import topazvalve.simulation.virtual.VirtualWorld;

/**
 * New connections for a call by the calls a second of one sidecar and one server, in virtual time: a
 * connection that is idle for the server's time is closed. The same seed gives the same figures.
 */
final class ConnectionMeasurement {
    private static final long SEED = 5;
    private static final double[] PAIRS = {0.0234, 0.0667, 0.267, 1, 3};

    private ConnectionMeasurement() {}

    static void run(Path file, boolean quick, Points points) throws IOException {
        points.part("virtual time, " + file.getFileName());
        Scenario scenario = ScenarioFile.read(file);
        for (int i = 0; i < PAIRS.length - (quick ? 1 : 0); i++) {
            points.add(Quantity.CONNECTIONS_PER_CALL, PAIRS[i], perCall(scenario, PAIRS[i]));
        }
    }

    /** New connections for each attempt at this many calls a second of each pair. */
    static double perCall(Scenario scenario, double callsOfPair) {
        Load load = scenario.load();
        Scenario loaded = new Scenario(
                scenario.name(),
                scenario.about(),
                scenario.length(),
                scenario.settle(),
                scenario.fleet(),
                new Load(
                        callsOfPair * scenario.fleet().servers(),
                        0,
                        load.shape(),
                        load.swing(),
                        load.period(),
                        load.instanceSpread(),
                        load.keys(),
                        load.zipf()),
                scenario.network(),
                scenario.news(),
                scenario.limits(),
                scenario.machines(),
                scenario.classes(),
                scenario.clients(),
                scenario.faults(),
                scenario.chaos());
        RunStatistics.Sums sums = new VirtualWorld(loaded, ExperimentArm.of(Policy.MODULE), SEED)
                .play()
                .tally()
                .sums();
        return (double) sums.connections() / Math.max(1, sums.attempts());
    }
}

package topazvalve.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;

/** The measurement in virtual time is reproducible, and each call opens more connections if calls are rare. */
class ConnectionMeasurementTest {
    @Test
    void isReproducibleAndRareCallsOpenMoreConnections() throws IOException {
        Scenario scenario = ScenarioFile.read(Path.of("../simulation/capacity/connections.toml"));
        double rare = ConnectionMeasurement.connectionsPerCall(scenario, 0.0234);
        double frequent = ConnectionMeasurement.connectionsPerCall(scenario, 0.267);
        assertEquals(rare, ConnectionMeasurement.connectionsPerCall(scenario, 0.0234));
        assertTrue(rare > frequent && rare <= 1 && frequent > 0, rare + " " + frequent);
    }
}

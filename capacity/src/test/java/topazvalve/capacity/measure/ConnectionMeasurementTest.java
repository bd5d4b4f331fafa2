package topazvalve.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;

/** Connections in virtual time are reproducible, and rarer calls open more of them each. */
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

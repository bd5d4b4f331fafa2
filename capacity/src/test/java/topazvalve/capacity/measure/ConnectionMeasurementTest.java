package topazvalve.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;

/** The row in virtual time: the same seed, the same figure; rarer calls open more connections each. */
class ConnectionMeasurementTest {
    @Test
    void theSameSeedGivesTheSameFigureAndRareCallsOpenMore() throws IOException {
        Scenario scenario = ScenarioFile.read(Path.of("../simulation/capacity/connections.toml"));
        double rare = ConnectionMeasurement.perCall(scenario, 0.0234);
        double often = ConnectionMeasurement.perCall(scenario, 0.267);
        assertEquals(rare, ConnectionMeasurement.perCall(scenario, 0.0234));
        assertTrue(rare > often && rare <= 1 && often > 0, rare + " " + often);
    }
}

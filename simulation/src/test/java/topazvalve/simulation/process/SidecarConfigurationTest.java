package topazvalve.simulation.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;

/** The configuration file has the keys that the platform writes. */
class SidecarConfigurationTest {
    private static final String EXPECTED = """
            {"name": "n1", "discovery": "127.0.0.1:7", "seed": "2a",
             "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 1024},
             "settings": {"discovery": "subscribe", "quantum": 5,
                          "report": {"how": "silent", "fields": []}, "zones": ["a", "b"], "kinds": ["m"]},
             "listen": "127.0.0.1:8", "admin": "127.0.0.1:9",
             "known": {"rev": 1, "all": true, "targets": [
                {"uid": "s-0", "endpoint": "127.0.0.1:11", "az": "a", "model": "m", "pod_group": 0,
                 "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}]}}
            """;

    @TempDir
    private Path directory;

    @Test
    void fileHasKeysOfPlatform() throws Exception {
        Path file = directory.resolve("n1.json");

        new SidecarConfiguration("n1", "2a", SidecarConfiguration.loopback(7), Discovery.SUBSCRIBE, 5)
                .listenOn(8)
                .adminOn(9)
                .zonesAndKinds(List.of("a", "b"), List.of("m"))
                .cachedServers(List.of(11))
                .write(file);

        ObjectMapper json = new ObjectMapper();
        JsonNode written = json.readTree(file.toFile());
        assertEquals(json.readTree(EXPECTED), written);
    }
}

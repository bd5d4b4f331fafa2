package topazvalve.simulation.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.simulation.DeployFileException;

/** The command of a sidecar is the {@code run} line of the deploy file. */
class SidecarCommandTest {
    @TempDir
    private Path repositoryRoot;

    private Path deployFile;

    @BeforeEach
    void createDeployDirectory() throws Exception {
        deployFile = Files.createDirectory(repositoryRoot.resolve("deploy")).resolve("balancer.toml");
    }

    @Test
    void commandIsTheRunLine() throws Exception {
        Files.writeString(deployFile, "name = \"x\"\nrun = \"start it\"\n");

        ProcessBuilder builder =
                SidecarCommand.processBuilder(repositoryRoot, Path.of("/config.json"), List.of("nice"));

        assertEquals(List.of("nice", "/bin/sh", "-c", "start it"), builder.command());
        assertEquals("/config.json", builder.environment().get("PROXY_CONFIG"));
        assertEquals(repositoryRoot.toFile(), builder.directory());
    }

    @Test
    void fileWithoutRunLineIsReported() throws Exception {
        Files.writeString(deployFile, "name = \"x\"\n");

        DeployFileException error = assertThrows(
                DeployFileException.class,
                () -> SidecarCommand.processBuilder(repositoryRoot, Path.of("/config.json"), List.of()));

        assertEquals("deploy/balancer.toml has no run line", error.getMessage());
    }
}

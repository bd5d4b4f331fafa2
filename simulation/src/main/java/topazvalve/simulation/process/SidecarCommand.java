package topazvalve.simulation.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.DeployFileException;

/** The command that starts a packaged sidecar: the {@code run} line of the deploy file. */
public final class SidecarCommand {
    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    private SidecarCommand() {}

    /**
     * Returns the builder of a sidecar process that isn't started yet.
     *
     * @param repositoryRoot the root of the repository, where the process starts
     * @param configurationFile the sidecar's configuration file
     * @param prefix words before the shell, such as {@code taskset} with its arguments
     * @throws IOException if the deploy file can't be read
     * @throws DeployFileException if it has no {@code run} line
     */
    public static ProcessBuilder processBuilder(Path repositoryRoot, Path configurationFile, List<String> prefix)
            throws IOException {
        String runLine = Files.readAllLines(repositoryRoot.resolve(DEPLOY_FILE)).stream()
                .filter(line -> line.startsWith("run = \""))
                .findFirst()
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .orElseThrow(() -> new DeployFileException(DEPLOY_FILE));
        List<String> command = new ArrayList<>(prefix);
        command.addAll(List.of("/bin/sh", "-c", runLine));
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(repositoryRoot.toFile()).redirectErrorStream(true);
        builder.environment()
                .put("PROXY_CONFIG", configurationFile.toAbsolutePath().toString());
        builder.environment().remove("PROXY_FD");
        builder.environment().remove("PROXY_ADMIN");
        return builder;
    }

    /** Returns a loopback port that is free at present. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}

package topazvalve.simulation.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.DeployFileException;

/** Starts sidecars by the {@code run} line of the deploy file. */
public final class SidecarCommand {
    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    private SidecarCommand() {}

    /**
     * Returns the builder of a sidecar process that isn't started yet.
     *
     * @param home the root of the repository, where the process starts
     * @param config the sidecar's configuration file
     * @param before words before the shell, such as those that pin a process to a core
     * @throws IOException if the deploy file can't be read
     * @throws DeployFileException if it has no such line
     */
    public static ProcessBuilder processBuilder(Path home, Path config, List<String> before) throws IOException {
        String run = Files.readAllLines(home.resolve(DEPLOY_FILE)).stream()
                .filter(each -> each.startsWith("run = \""))
                .findFirst()
                .map(each -> each.substring(each.indexOf('"') + 1, each.lastIndexOf('"')))
                .orElseThrow(() -> new DeployFileException(DEPLOY_FILE));
        List<String> command = new ArrayList<>(before);
        command.addAll(List.of("/bin/sh", "-c", run));
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(home.toFile()).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        builder.environment().remove("PROXY_FD");
        builder.environment().remove("PROXY_ADMIN");
        return builder;
    }

    /** Returns a loopback port on which nothing listens now. */
    public static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }
}

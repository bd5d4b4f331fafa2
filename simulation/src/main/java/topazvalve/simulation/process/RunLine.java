package topazvalve.simulation.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The deploy file's {@code run} line, which starts one sidecar. */
public final class RunLine {
    private RunLine() {}

    /**
     * A sidecar with this configuration, about to be started from the repository's root.
     *
     * @param before words to put before the shell, such as those that pin a process to a core
     */
    public static ProcessBuilder of(Path home, Path config, List<String> before) throws IOException {
        String run = Files.readAllLines(home.resolve("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith("run = \""))
                .findFirst()
                .map(each -> each.substring(each.indexOf('"') + 1, each.lastIndexOf('"')))
                .orElseThrow(() -> new IOException("deploy/balancer.toml has no run line"));
        List<String> command = new ArrayList<>(before);
        command.addAll(List.of("/bin/sh", "-c", run));
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(home.toFile()).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        builder.environment().remove("PROXY_FD");
        builder.environment().remove("PROXY_ADMIN");
        return builder;
    }

    /** A loopback port that nobody listens on now. */
    public static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }
}

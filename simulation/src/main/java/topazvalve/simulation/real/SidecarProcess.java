package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.process.RunLine;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/** The packaged sidecar as a process of its own, started by the deploy file's {@code run} line. */
final class SidecarProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Path home;
    private final Path folder;
    private final String name;
    private final int port;
    private final int adminPort;
    private Process process;

    SidecarProcess(Path home, Path folder, int number) throws IOException {
        this.home = home;
        this.folder = folder;
        this.name = "n" + number;
        this.port = RunLine.freePort();
        this.adminPort = RunLine.freePort();
    }

    /** Where clients connect. */
    int port() {
        return port;
    }

    int adminPort() {
        return adminPort;
    }

    /** Starts it; it is ready once its {@code /up} says so. */
    void start(Scenario scenario, int discoveryPort, ObjectNode known, long seed) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config(scenario, discoveryPort, known, seed).toString());
        File log = folder.resolve(name + ".log").toFile();
        process = RunLine.of(home, file, List.of())
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Ends it in order, and by force if that takes longer than it may. */
    void end(long longestMs) throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(longestMs, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    private ObjectNode config(Scenario scenario, int discoveryPort, ObjectNode known, long seed) {
        ObjectNode root = JSON.createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:" + port)
                .put("admin", "127.0.0.1:" + adminPort)
                .put("discovery", "127.0.0.1:" + discoveryPort)
                .put("seed", Long.toHexString(seed));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        root.set("known", known);
        ObjectNode settings = root.putObject("settings")
                .put("discovery", "subscribe")
                .put("quantum", 0)
                .put("rank", 0)
                .put("replicasOfMe", scenario.fleet().instances());
        ArrayNode zones = settings.putArray("zones");
        scenario.fleet().zones().forEach(zones::add);
        ArrayNode kinds = settings.putArray("kinds");
        scenario.machines().forEach(each -> kinds.add(each.name()));
        settings.putObject("report").put("how", "silent").putArray("fields");
        long idle = scenario.machines().stream()
                .mapToLong(each -> each.idleTimeout())
                .min()
                .orElseThrow();
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("mayProbe", true)
                .put("retryAfter", true)
                .put("tryLimit", scenario.limits().attempts())
                .put("maxRetryAfter", scenario.clients().maxRetryAfter())
                .put("connectTimeout", scenario.limits().connectTimeout())
                .put("connIdle", idle);
        settings.putObject("charges").put("probe", 0.01);
        settings.putObject("rules")
                .put("answerSlack", scenario.limits().responseSlack())
                .put("stopSendingWithin", scenario.limits().drainGrace())
                .put("askWithin", scenario.limits().resubscribeWithin())
                .put("coldShare", scenario.limits().coldShare())
                .put("rampTime", scenario.limits().rampTime())
                .put("overloadFactor", scenario.limits().overloadFactor())
                .put("tipAfter", scenario.limits().coldLoadWindow());
        ArrayNode profiles = settings.putArray("profiles");
        scenario.classes().forEach(each -> profiles.add(profile(each)));
        return root;
    }

    private static ObjectNode profile(WorkClass kind) {
        ObjectNode profile = JSON.createObjectNode()
                .put("name", kind.name())
                .put("slo", kind.latencyObjective())
                .put("deadline", kind.deadline())
                .put("worth", kind.priorityWeight())
                .put(
                        "semantics",
                        switch (kind.repeatability()) {
                            case FREE -> "repeatable";
                            case KEYED -> "by_key";
                            case NEVER -> "once";
                        });
        if (kind.repeatability() == WorkClass.Repeatability.KEYED) {
            profile.put("keyTtl", kind.repeatWindow())
                    .put(
                            "keyScope",
                            switch (kind.scope()) {
                                case ALL -> "all";
                                case ZONE -> "zone";
                                case POD -> "cell";
                            });
        }
        return profile;
    }
}

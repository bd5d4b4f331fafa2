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

/** One sidecar process, started by the {@code run} line of the deploy file. */
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

    /** Returns the port of its clients. */
    int port() {
        return port;
    }

    /** Returns the port of its admin endpoint. */
    int adminPort() {
        return adminPort;
    }

    /**
     * Starts it, without waiting until it is ready.
     *
     * @param cachedList the endpoint list that it starts with
     * @param seed the seed of its load balancer
     */
    void start(Scenario scenario, int discoveryPort, ObjectNode cachedList, long seed) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(
                file, configuration(scenario, discoveryPort, cachedList, seed).toString());
        File log = folder.resolve(name + ".log").toFile();
        process = RunLine.of(home, file, List.of())
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Stops it in order, or by force if that takes longer than the timeout. */
    void stop(long timeoutMillis) throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    private ObjectNode configuration(Scenario scenario, int discoveryPort, ObjectNode cachedList, long seed) {
        ObjectNode root = JSON.createObjectNode()
                .put("name", name)
                .put("listen", "127.0.0.1:" + port)
                .put("admin", "127.0.0.1:" + adminPort)
                .put("discovery", "127.0.0.1:" + discoveryPort)
                .put("seed", Long.toHexString(seed));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        root.set("known", cachedList);
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
        putCapabilities(settings.putObject("caps"), scenario);
        settings.putObject("charges").put("probe", 0.01);
        putLimits(settings.putObject("rules"), scenario.limits());
        ArrayNode profiles = settings.putArray("profiles");
        scenario.classes().forEach(each -> profiles.add(profile(each)));
        return root;
    }

    private static void putCapabilities(ObjectNode capabilities, Scenario scenario) {
        capabilities
                .put("mayCancel", true)
                .put("mayProbe", true)
                .put("retryAfter", true)
                .put("tryLimit", scenario.limits().attempts())
                .put("maxRetryAfter", scenario.clients().maxRetryAfter())
                .put("connectTimeout", scenario.limits().connectTimeout())
                .put("connIdle", scenario.minIdleTimeout());
    }

    private static void putLimits(ObjectNode rules, Scenario.Limits limits) {
        rules.put("answerSlack", limits.responseSlack())
                .put("stopSendingWithin", limits.drainGrace())
                .put("askWithin", limits.resubscribeWithin())
                .put("coldShare", limits.coldShare())
                .put("rampTime", limits.rampTime())
                .put("overloadFactor", limits.overloadFactor())
                .put("tipAfter", limits.coldLoadWindow());
    }

    private static ObjectNode profile(WorkClass requestClass) {
        ObjectNode profile = JSON.createObjectNode()
                .put("name", requestClass.name())
                .put("slo", requestClass.latencyObjective())
                .put("deadline", requestClass.deadline())
                .put("worth", requestClass.priorityWeight())
                .put(
                        "semantics",
                        switch (requestClass.repeatability()) {
                            case FREE -> "repeatable";
                            case KEYED -> "by_key";
                            case NEVER -> "once";
                        });
        if (requestClass.repeatability() == WorkClass.Repeatability.KEYED) {
            profile.put("keyTtl", requestClass.repeatWindow())
                    .put(
                            "keyScope",
                            switch (requestClass.scope()) {
                                case ALL -> "all";
                                case ZONE -> "zone";
                                case POD -> "cell";
                            });
        }
        return profile;
    }
}

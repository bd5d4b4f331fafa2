package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import topazvalve.simulation.process.ChildProcesses;
import topazvalve.simulation.process.SidecarCommand;
import topazvalve.simulation.process.SidecarConfiguration;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;

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
        this.port = SidecarCommand.freePort();
        this.adminPort = SidecarCommand.freePort();
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
        configuration(scenario, discoveryPort, cachedList, seed).write(file);
        File log = folder.resolve(name + ".log").toFile();
        process = SidecarCommand.processBuilder(home, file, List.of())
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

    /** Stops it in order, or by force if that takes longer than the grace period. */
    void stop(Duration grace) throws InterruptedException {
        if (process != null) {
            ChildProcesses.stop(process, grace);
        }
    }

    private SidecarConfiguration configuration(Scenario scenario, int discoveryPort, ObjectNode cachedList, long seed) {
        String source = SidecarConfiguration.loopback(discoveryPort);
        List<String> kinds = scenario.machines().stream().map(MachineKind::name).toList();
        SidecarConfiguration configuration = new SidecarConfiguration(
                        name, Long.toHexString(seed), source, Discovery.SUBSCRIBE, 0)
                .listenOn(port)
                .adminOn(adminPort)
                .zonesAndKinds(scenario.fleet().zones(), kinds)
                .cachedList(cachedList);
        ObjectNode settings = configuration.settings();
        settings.put("rank", 0).put("replicasOfMe", scenario.fleet().instances());
        putCapabilities(settings.putObject("caps"), scenario);
        settings.putObject("charges").put("probe", 0.01);
        putLimits(settings.putObject("rules"), scenario.limits());
        ArrayNode profiles = settings.putArray("profiles");
        scenario.classes().forEach(each -> profiles.add(profile(each)));
        return configuration;
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
                .put("coldShare", limits.coldCapacityFraction())
                .put("rampTime", limits.slowStartTime())
                .put("overloadFactor", limits.overloadFactor())
                .put("tipAfter", limits.coldLoadWindow());
    }

    private static ObjectNode profile(RequestClassSpec requestClass) {
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
        if (requestClass.repeatability() == RequestClassSpec.Repeatability.KEYED) {
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

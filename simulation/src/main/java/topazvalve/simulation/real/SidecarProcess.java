package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
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
    private static final double HEALTH_CHECK_COST = 0.01;

    private final Path repositoryRoot;
    private final Path workDirectory;
    private final String name;
    private final int port;
    private final int adminPort;
    /** Written on the event loop and read on other threads. */
    private volatile Process process;

    SidecarProcess(Path repositoryRoot, Path workDirectory, int number) throws IOException {
        this.repositoryRoot = repositoryRoot;
        this.workDirectory = workDirectory;
        this.name = "n" + number;
        this.port = SidecarCommand.freePort();
        this.adminPort = SidecarCommand.freePort();
    }

    /** Returns the port that clients connect to. */
    int port() {
        return port;
    }

    /** Returns the port of its admin endpoint. */
    int adminPort() {
        return adminPort;
    }

    /**
     * Starts the process without waiting until it is ready.
     *
     * @param cachedList the cached endpoint list that it starts with
     * @param seed the seed of its load balancer
     */
    void start(Scenario scenario, int discoveryPort, ObjectNode cachedList, long seed) throws IOException {
        Path configurationFile = workDirectory.resolve(name + ".json");
        configuration(scenario, discoveryPort, cachedList, seed).write(configurationFile);
        File log = workDirectory.resolve(name + ".log").toFile();
        process = SidecarCommand.processBuilder(repositoryRoot, configurationFile, List.of())
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    /** Returns the id of the process; empty unless it runs. */
    OptionalLong pid() {
        Process current = process;
        return current != null && current.isAlive() ? OptionalLong.of(current.pid()) : OptionalLong.empty();
    }

    /** Returns the process that was started last; null before the first start. */
    Process process() {
        return process;
    }

    /** Sends SIGTERM; returns false if the process does not run. */
    boolean terminate() {
        boolean running = isAlive();
        if (running) {
            process.destroy();
        }
        return running;
    }

    /** Sends SIGHUP. */
    void reload() throws IOException {
        ChildProcesses.signal(process, "HUP");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Stops the process as it is; it continues after the returned action has run, unless it was killed.
     *
     * @throws IOException if the signal can't be sent
     */
    Runnable suspend() throws IOException {
        Process suspended = process;
        ChildProcesses.signal(suspended, "STOP");
        return () -> {
            try {
                ChildProcesses.signal(suspended, "CONT");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Stops the process gracefully, or forcibly if it is still running after the grace period. */
    void stop(Duration grace) throws InterruptedException {
        if (process != null) {
            ChildProcesses.stop(process, grace);
        }
    }

    private SidecarConfiguration configuration(Scenario scenario, int discoveryPort, ObjectNode cachedList, long seed) {
        String source = SidecarConfiguration.loopback(discoveryPort);
        List<String> machineKinds =
                scenario.machines().stream().map(MachineKind::name).toList();
        SidecarConfiguration configuration = new SidecarConfiguration(
                        name, Long.toHexString(seed), source, Discovery.SUBSCRIBE, 0)
                .listenOn(port)
                .adminOn(adminPort)
                .zonesAndKinds(scenario.fleet().zones(), machineKinds)
                .cachedList(cachedList);
        ObjectNode settings = configuration.settings();
        settings.put("rank", 0).put("replicasOfMe", scenario.fleet().instances());
        putCapabilities(settings.putObject("caps"), scenario);
        settings.putObject("charges").put("probe", HEALTH_CHECK_COST);
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

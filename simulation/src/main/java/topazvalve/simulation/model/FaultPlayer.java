package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.simulation.model.OrderServer.Mode;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Chaos;

/** Plays faults on a stage at their times. Each fault draws whom it strikes from a stream of its own. */
public final class FaultPlayer {
    /** When the process of a machine that was drained or restarted is back, at the least. */
    private static final long SHORTEST_STOP = 50_000_000;

    private final FaultTarget stage;

    private FaultPlayer(FaultTarget stage) {
        this.stage = stage;
    }

    /** Schedules all faults of a scenario, written and drawn; returns them for the report. */
    public static List<Fault> play(FaultTarget stage, Scenario scenario, long seed) {
        FaultPlayer player = new FaultPlayer(stage);
        List<Fault> all = plan(scenario, seed);
        long start = stage.clock().now();
        for (int i = 0; i < all.size(); i++) {
            Fault fault = all.get(i);
            RandomStreams chance = RandomStreams.stream(seed, "fault." + i);
            stage.clock().at(start + fault.start(), () -> player.begin(fault, chance));
        }
        return all;
    }

    /** The faults of a run: those written, then those drawn from the seed. */
    static List<Fault> plan(Scenario scenario, long seed) {
        List<Fault> all = new ArrayList<>(scenario.faults());
        Chaos chaos = scenario.chaos();
        for (int i = 0; i < chaos.count(); i++) {
            RandomStreams chance = RandomStreams.stream(seed, "chaos." + i);
            Fault.Kind kind = chaos.kinds().get(chance.below(chaos.kinds().size()));
            long length = (long) (chaos.length().at(chance.part()) * 1e9);
            long start = (long) (chance.part() * Math.max(0, scenario.length() - length));
            double size = chaos.size().at(chance.part());
            boolean part = kind == Fault.Kind.LOSS || kind == Fault.Kind.SPOIL;
            all.add(new Fault(
                    kind,
                    start,
                    length,
                    chaos.share().at(chance.part()),
                    part ? Math.min(0.5, size / 10) : size,
                    20_000_000));
        }
        return all;
    }

    private void begin(Fault fault, RandomStreams chance) {
        stage.note("begins: " + describe(fault));
        Clock clock = stage.clock();
        switch (fault.kind()) {
            case OVERLOAD -> {
                stage.overload(fault.size());
                later(fault, () -> stage.overload(1));
            }
            case SHARED_SLOW -> slow(fault, stage.servers());
            case SLOW -> slow(fault, struck(fault, chance));
            case LOSS -> {
                stage.link().loss(fault.size());
                later(fault, () -> stage.link().loss(0));
            }
            case DELAY -> {
                stage.link().extra(fault.by());
                later(fault, () -> stage.link().extra(0));
            }
            case DISCOVERY_DOWN -> {
                stage.directory().down(true);
                later(fault, () -> stage.directory().down(false));
            }
            case INSTANCE_RESTART -> {
                int count = count(fault.share(), stage.instanceCount());
                int first = chance.below(stage.instanceCount());
                for (int i = 0; i < count; i++) {
                    int number = (first + i) % stage.instanceCount();
                    long at = clock.now() + (long) (chance.part() * fault.length());
                    clock.at(at, () -> stage.restartInstance(number));
                }
                later(fault, () -> {});
            }
            case SPOIL -> {
                List<OrderServer> struck = struck(fault, chance);
                struck.forEach(each -> each.spoil(fault.size()));
                later(fault, () -> struck.forEach(each -> each.spoil(0)));
            }
            case SILENT -> inMode(fault, chance, Mode.SILENT);
            case FROZEN -> inMode(fault, chance, Mode.FROZEN);
            case REFUSE -> inMode(fault, chance, Mode.REFUSING);
            case RESET -> {
                struck(fault, chance).forEach(OrderServer::breakAll);
                later(fault, () -> {});
            }
            case VANISH -> stop(fault, chance, true);
            case RESTART -> stop(fault, chance, false);
            case REPLACE, REPLACE_IN_PLACE -> {
                struck(fault, chance).forEach(old -> replace(fault, old));
                later(fault, () -> {});
            }
            case DRAIN -> {
                struck(fault, chance).forEach(server -> drain(fault, server));
                later(fault, () -> {});
            }
            default -> throw new IllegalStateException("no such fault: " + fault.kind());
        }
    }

    private static String describe(Fault fault) {
        return fault.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + " ("
                + Math.round(fault.share() * 100) + "% for " + fault.length() / 1_000_000_000.0 + " s)";
    }

    private void later(Fault fault, Runnable undo) {
        stage.clock().at(stage.clock().now() + fault.length(), () -> {
            stage.note("ends: " + describe(fault));
            undo.run();
        });
    }

    private static int count(double share, int of) {
        return Math.min(of, Math.max(1, (int) Math.round(share * of)));
    }

    /** Servers that serve now, drawn without repeats. */
    private List<OrderServer> struck(Fault fault, RandomStreams chance) {
        List<OrderServer> left = new ArrayList<>(
                stage.servers().stream().filter(each -> each.mode() == Mode.UP).toList());
        List<OrderServer> struck = new ArrayList<>();
        int count = left.isEmpty() ? 0 : count(fault.share(), left.size());
        while (struck.size() < count) {
            struck.add(left.remove(chance.below(left.size())));
        }
        return struck;
    }

    private void slow(Fault fault, List<OrderServer> servers) {
        servers.forEach(each -> each.slower(fault.size()));
        later(fault, () -> servers.forEach(each -> each.slower(1)));
    }

    private void inMode(Fault fault, RandomStreams chance, Mode mode) {
        List<OrderServer> struck = struck(fault, chance);
        struck.forEach(each -> each.mode(mode));
        later(fault, () -> struck.stream().filter(each -> each.mode() == mode).forEach(each -> each.mode(Mode.UP)));
    }

    private void stop(Fault fault, RandomStreams chance, boolean silently) {
        List<OrderServer> struck = struck(fault, chance);
        for (OrderServer each : struck) {
            each.stop(silently);
            stage.directory().happened(each, EndpointStatus.REMOVED, silently);
        }
        later(fault, () -> struck.forEach(this::startAgain));
    }

    private void startAgain(OrderServer server) {
        server.start();
        if (!server.fallen()) {
            stage.directory().happened(server, EndpointStatus.READY, false);
        }
    }

    private void replace(Fault fault, OrderServer old) {
        old.remove();
        stage.directory().happened(old, EndpointStatus.REMOVED, false);
        stage.clock().at(stage.clock().now() + Math.max(SHORTEST_STOP, fault.length()), () -> {
            OrderServer fresh = stage.replace(old, fault.kind() == Fault.Kind.REPLACE_IN_PLACE);
            fresh.start();
            stage.directory().happened(fresh, EndpointStatus.READY, false);
        });
    }

    /** Told as draining; it goes on until everybody has heard, declines what is new, and starts anew. */
    private void drain(Fault fault, OrderServer server) {
        stage.directory().happened(server, EndpointStatus.DRAINING, false);
        long end = stage.clock().now() + Math.max(SHORTEST_STOP, fault.length());
        stage.clock().at(end - fault.length() / 3, server::drain);
        stage.clock().at(end, () -> {
            server.stop(false);
            stage.clock().at(end + SHORTEST_STOP, () -> startAgain(server));
        });
    }
}

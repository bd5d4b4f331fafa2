package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Chaos;
import topazvalve.toml.Range;
import topazvalve.toml.Table;

/** Injects the faults of a scenario at their times. Each fault draws the servers it affects from its own stream. */
public final class FaultInjector {
    /** The prefix of the event that is recorded when a fault begins. */
    public static final String BEGIN_PREFIX = "begins: ";
    /** The prefix of the event that is recorded when a fault ends. */
    public static final String END_PREFIX = "ends: ";

    private static final double NANOS_PER_SECOND = 1e9;
    /** The minimum downtime of the process of a drained or replaced server. */
    private static final long MIN_DOWNTIME_NANOS = 50_000_000;

    /** The largest fraction of packets or responses that a randomly drawn fault affects. */
    private static final double MAX_DRAWN_RATE = 0.5;
    /** Drawn sizes are slowdowns; divided by this number, they serve as fractions of packets or responses. */
    private static final double DRAWN_RATE_DIVISOR = 10;

    private static final long DRAWN_DELAY_NANOS = 20_000_000;
    /** Less than half of the usual deadlines, so that most of these responses are complete in time. */
    private static final long DRAWN_BODY_DELAY_NANOS = 60_000_000;
    /** The longest of the stalls that a randomly drawn fault causes. */
    private static final long DRAWN_STALL_NANOS = 1_500_000_000;

    private static final long RELOAD_INTERVAL_NANOS = 200_000_000;

    private static final long MIN_STALL_NANOS = 50_000_000;
    /** The time between two stalls of an instance. */
    private static final Range STALL_PAUSE_NANOS = new Range(5e7, 8e8);

    /** A drained server rejects new attempts in the last third of the drain. */
    private static final int DRAIN_REJECTION_DIVISOR = 3;

    private final FaultTarget target;

    private FaultInjector(FaultTarget target) {
        this.target = target;
    }

    /** Schedules all faults of a scenario, configured and drawn, and returns them for the report. */
    public static List<Fault> scheduleAll(FaultTarget target, Scenario scenario, long seed) {
        FaultInjector injector = new FaultInjector(target);
        List<Fault> all = plan(scenario, seed);
        long start = target.clock().now();
        for (int i = 0; i < all.size(); i++) {
            Fault fault = all.get(i);
            RandomStream random = RandomStream.named(seed, "fault." + i);
            target.clock().scheduleAt(start + fault.start(), () -> injector.begin(fault, random));
        }
        return all;
    }

    /** Returns the faults of a run: those of the scenario file, then those drawn from the seed. */
    static List<Fault> plan(Scenario scenario, long seed) {
        List<Fault> all = new ArrayList<>(scenario.faults());
        for (int i = 0; i < scenario.chaos().count(); i++) {
            all.add(drawFault(scenario, RandomStream.named(seed, "chaos." + i)));
        }
        return all;
    }

    private static Fault drawFault(Scenario scenario, RandomStream random) {
        Chaos chaos = scenario.chaos();
        Fault.Kind kind = chaos.kinds().get(random.nextInt(chaos.kinds().size()));
        long length = (long) (chaos.lengthSeconds().interpolate(random.nextDouble()) * NANOS_PER_SECOND);
        long start = (long) (random.nextDouble() * Math.max(0, scenario.length() - length));
        double size = chaos.size().interpolate(random.nextDouble());
        boolean isRate = kind == Fault.Kind.LOSS
                || kind == Fault.Kind.SPOIL
                || kind == Fault.Kind.EXTRA
                || kind == Fault.Kind.SLOW_BODY;
        if (isRate) {
            size = Math.min(MAX_DRAWN_RATE, size / DRAWN_RATE_DIVISOR);
        }
        long drawnDelay = drawnDelay(kind);
        double affectedFraction = chaos.affectedFraction().interpolate(random.nextDouble());
        return new Fault(kind, start, length, affectedFraction, size, drawnDelay);
    }

    private static long drawnDelay(Fault.Kind kind) {
        return switch (kind) {
            case INSTANCE_STALL -> DRAWN_STALL_NANOS;
            case SLOW_BODY -> DRAWN_BODY_DELAY_NANOS;
            default -> DRAWN_DELAY_NANOS;
        };
    }

    private void begin(Fault fault, RandomStream random) {
        target.recordEvent(BEGIN_PREFIX + describe(fault));
        switch (fault.kind()) {
            case OVERLOAD -> overload(fault);
            case SHARED_SLOW -> slowDown(fault, target.servers());
            case SLOW -> slowDown(fault, drawServers(fault, random));
            case LOSS -> losePackets(fault);
            case DELAY -> delayPackets(fault);
            case DISCOVERY_DOWN -> takeDiscoveryDown(fault);
            case INSTANCE_RESTART -> restartInstances(fault, random, target::restartInstance);
            case INSTANCE_SHUTDOWN -> restartInstances(fault, random, target::shutDownInstance);
            case INSTANCE_STALL -> stallInstances(fault, random);
            case CLIENT_FLOOD -> disturbInstances(fault, random, target::floodInstance);
            case CLIENT_DEPARTURES -> disturbInstances(fault, random, target::departFromInstance);
            case CLIENT_CROWD -> disturbInstances(fault, random, target::crowdInstance);
            case RELOADS -> disturbInstances(fault, random, this::reloadAgainAndAgain);
            case SPOIL -> corruptResponses(fault, random);
            case EXTRA -> addExtraData(fault, random);
            case SLOW_BODY -> slowDownBodies(fault, random);
            case SILENT -> setModeFor(fault, random, ServerMode.SILENT);
            case FROZEN -> setModeFor(fault, random, ServerMode.FROZEN);
            case REFUSE -> setModeFor(fault, random, ServerMode.REFUSING);
            case RESET -> resetConnections(fault, random);
            case VANISH -> stopServers(fault, random, true);
            case RESTART -> stopServers(fault, random, false);
            case REPLACE, REPLACE_IN_PLACE -> replaceServers(fault, random);
            case DRAIN -> drainServers(fault, random);
            default -> throw new IllegalStateException("unknown fault kind: " + fault.kind());
        }
    }

    private static String describe(Fault fault) {
        String kind = Table.nameOf(fault.kind());
        return kind + " (" + Math.round(fault.affectedFraction() * 100) + "% for " + fault.length() / NANOS_PER_SECOND
                + " s)";
    }

    /** Schedules the end of a fault, which runs {@code undo}. */
    private void scheduleEnd(Fault fault, Runnable undo) {
        target.clock().scheduleAt(target.clock().now() + fault.length(), () -> {
            target.recordEvent(END_PREFIX + describe(fault));
            undo.run();
        });
    }

    private static int affectedCount(double fraction, int total) {
        return Math.min(total, Math.max(1, (int) Math.round(fraction * total)));
    }

    /** Draws the affected servers, without replacement, from those that are up. */
    private List<OrderServer> drawServers(Fault fault, RandomStream random) {
        List<OrderServer> candidates = new ArrayList<>(target.servers().stream()
                .filter(each -> each.mode() == ServerMode.UP)
                .toList());
        List<OrderServer> drawn = new ArrayList<>();
        int count = candidates.isEmpty() ? 0 : affectedCount(fault.affectedFraction(), candidates.size());
        while (drawn.size() < count) {
            drawn.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return drawn;
    }

    private void overload(Fault fault) {
        target.setLoadFactor(fault.size());
        scheduleEnd(fault, () -> target.setLoadFactor(1));
    }

    private void losePackets(Fault fault) {
        target.link().setLossRate(fault.size());
        scheduleEnd(fault, () -> target.link().setLossRate(0));
    }

    private void delayPackets(Fault fault) {
        target.link().setExtraDelay(fault.extraDelay());
        scheduleEnd(fault, () -> target.link().setExtraDelay(0));
    }

    private void takeDiscoveryDown(Fault fault) {
        target.directory().setUnavailable(true);
        scheduleEnd(fault, () -> target.directory().setUnavailable(false));
    }

    private void restartInstances(Fault fault, RandomStream random, IntConsumer restart) {
        int count = affectedCount(fault.affectedFraction(), target.instanceCount());
        int first = random.nextInt(target.instanceCount());
        for (int i = 0; i < count; i++) {
            int number = (first + i) % target.instanceCount();
            long at = target.clock().now() + (long) (random.nextDouble() * fault.length());
            target.clock().scheduleAt(at, () -> restart.accept(number));
        }
        scheduleEnd(fault, () -> {});
    }

    private interface Disturbance {
        void begin(int instance, long nanos);
    }

    private void disturbInstances(Fault fault, RandomStream random, Disturbance disturbance) {
        int count = affectedCount(fault.affectedFraction(), target.instanceCount());
        int first = random.nextInt(target.instanceCount());
        for (int i = 0; i < count; i++) {
            disturbance.begin((first + i) % target.instanceCount(), fault.length());
        }
        scheduleEnd(fault, () -> {});
    }

    private void reloadAgainAndAgain(int instance, long nanos) {
        long begin = target.clock().now();
        for (long at = begin; at < begin + nanos; at += RELOAD_INTERVAL_NANOS) {
            target.clock().scheduleAt(at, () -> target.reloadInstance(instance));
        }
    }

    private void stallInstances(Fault fault, RandomStream random) {
        int count = affectedCount(fault.affectedFraction(), target.instanceCount());
        int first = random.nextInt(target.instanceCount());
        long end = target.clock().now() + fault.length();
        for (int i = 0; i < count; i++) {
            scheduleStall((first + i) % target.instanceCount(), fault.extraDelay(), end, random);
        }
        scheduleEnd(fault, () -> {});
    }

    /** Stalls an instance after a pause, for a length of any order of magnitude, and then again until the end. */
    private void scheduleStall(int instance, long longestNanos, long end, RandomStream random) {
        long at = target.clock().now() + (long) STALL_PAUSE_NANOS.interpolate(random.nextDouble());
        if (at >= end) {
            return;
        }
        double exponent = random.nextDouble();
        double nanos = MIN_STALL_NANOS * Math.pow((double) longestNanos / MIN_STALL_NANOS, exponent);
        target.clock().scheduleAt(at, () -> {
            target.stallInstance(instance, (long) nanos);
            target.clock()
                    .scheduleAt(
                            target.clock().now() + (long) nanos,
                            () -> scheduleStall(instance, longestNanos, end, random));
        });
    }

    private void slowDown(Fault fault, List<OrderServer> servers) {
        servers.forEach(each -> each.setSlowdown(fault.size()));
        scheduleEnd(fault, () -> servers.forEach(each -> each.setSlowdown(1)));
    }

    private void corruptResponses(Fault fault, RandomStream random) {
        List<OrderServer> servers = drawServers(fault, random);
        servers.forEach(each -> each.setCorruptionRate(fault.size()));
        scheduleEnd(fault, () -> servers.forEach(each -> each.setCorruptionRate(0)));
    }

    private void addExtraData(Fault fault, RandomStream random) {
        List<OrderServer> servers = drawServers(fault, random);
        servers.forEach(each -> each.setExtraData(fault.size(), fault.extraDelay()));
        scheduleEnd(fault, () -> servers.forEach(each -> each.setExtraData(0, 0)));
    }

    private void slowDownBodies(Fault fault, RandomStream random) {
        List<OrderServer> servers = drawServers(fault, random);
        servers.forEach(each -> each.setSlowBodies(fault.size(), fault.extraDelay()));
        scheduleEnd(fault, () -> servers.forEach(each -> each.setSlowBodies(0, 0)));
    }

    private void setModeFor(Fault fault, RandomStream random, ServerMode mode) {
        List<OrderServer> servers = drawServers(fault, random);
        servers.forEach(each -> each.setMode(mode));
        scheduleEnd(
                fault,
                () -> servers.stream()
                        .filter(each -> each.mode() == mode)
                        .forEach(each -> each.setMode(ServerMode.UP)));
    }

    private void resetConnections(Fault fault, RandomStream random) {
        drawServers(fault, random).forEach(OrderServer::resetAll);
        scheduleEnd(fault, () -> {});
    }

    private void stopServers(Fault fault, RandomStream random, boolean silently) {
        List<OrderServer> servers = drawServers(fault, random);
        for (OrderServer each : servers) {
            each.stop(silently);
            target.directory().stateChanged(each, EndpointStatus.REMOVED, silently);
        }
        scheduleEnd(fault, () -> servers.forEach(this::restart));
    }

    private void restart(OrderServer server) {
        server.start();
        if (!server.crashedWhileCold()) {
            target.directory().stateChanged(server, EndpointStatus.READY, false);
        }
    }

    private void replaceServers(Fault fault, RandomStream random) {
        drawServers(fault, random).forEach(old -> replace(fault, old));
        scheduleEnd(fault, () -> {});
    }

    private void replace(Fault fault, OrderServer old) {
        old.decommission();
        target.directory().stateChanged(old, EndpointStatus.REMOVED, false);
        target.clock().scheduleAt(target.clock().now() + Math.max(MIN_DOWNTIME_NANOS, fault.length()), () -> {
            boolean sameAddress = fault.kind() == Fault.Kind.REPLACE_IN_PLACE;
            OrderServer replacement = target.replaceServer(old, sameAddress);
            replacement.start();
            target.directory().stateChanged(replacement, EndpointStatus.READY, false);
        });
    }

    private void drainServers(Fault fault, RandomStream random) {
        drawServers(fault, random).forEach(server -> drain(fault, server));
        scheduleEnd(fault, () -> {});
    }

    /** Lists a server as draining. It serves while instances are notified, then rejects new attempts, and restarts. */
    private void drain(Fault fault, OrderServer server) {
        target.directory().stateChanged(server, EndpointStatus.DRAINING, false);
        long end = target.clock().now() + Math.max(MIN_DOWNTIME_NANOS, fault.length());
        target.clock().scheduleAt(end - fault.length() / DRAIN_REJECTION_DIVISOR, server::drain);
        target.clock().scheduleAt(end, () -> {
            server.stop(false);
            target.clock().scheduleAt(end + MIN_DOWNTIME_NANOS, () -> restart(server));
        });
    }
}

package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import topazvalve.simulation.model.ColdServerMonitor;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.ScenarioFile;

/**
 * Measures what whole fleets send to cold servers, over any window of the settings' time, against the N + 2 x
 * root of N + 2 requests of mean work from which the operators' standing page lets one fall. N is the
 * settings' factor times the server's present capacity over that window.
 */
public final class ColdLoadExperiment implements ColdServerMonitor {
    /** Part of a window's work from those who knew, from which a fall is their fault. */
    private static final double INFORMED = 2.0 / 3;

    private static final String SCENARIO = """
            name = "cold-sums"
            length = "36s"
            settle = "1s"
            [fleet]
            servers = %d
            instances = %d
            zones = ["a", "b"]
            pod_size = 8
            [load]
            utilisation = %s
            shape = "bursty"
            swing = 0.4
            period = "4s"
            instance_spread = 1.0
            keys = 260
            zipf = 0.75
            [network]
            same_zone = "200us"
            cross_zone = "15ms"
            jitter = 0.2
            [discovery]
            subscribe = true
            notice_s = [0.1, 0.4]
            silent_notice_s = [4, 8]
            spread = "500ms"
            call_time = "100us"
            [rules]
            drain_grace = "500ms"
            overload_factor = %s
            tip_after = "3s"
            attempts = 4
            connect_timeout = "200ms"
            [clients]
            retries = 0.5
            backoff = "90ms"
            honour = 0.9
            impatient = 0.02
            [[machine]]
            name = "fast"
            share = 0.64
            cores = 2
            speed = [1.5, 2.1]
            cold_share = 0.13
            cold_time = "18s"
            warm_by = "work"
            connection_cost = "2500us"
            [[machine]]
            name = "slow"
            share = 0.36
            cores = 2
            speed = [0.77, 1.0]
            cold_share = 0.13
            cold_time = "14s"
            warm_by = "work"
            connection_cost = "2500us"
            [[class]]
            name = "charge"
            share = 0.5
            work = "115ms"
            spread = 0.5
            noise = 0.3
            aim = "600ms"
            deadline = "900ms"
            worth = 2
            repeats = "never"
            [[class]]
            name = "book"
            share = 0.5
            work = "86ms"
            spread = 0.55
            noise = 0.3
            aim = "400ms"
            deadline = "500ms"
            worth = 5
            repeats = "free"
            [[fault]]
            kind = "replace"
            start = "7s"
            length = "2s"
            share = %s
            [[fault]]
            kind = "instance-restart"
            start = "17s"
            length = "1s"
            share = 0.5
            [[fault]]
            kind = "overload"
            start = "18s"
            length = "6s"
            size = 1.5
            [[fault]]
            kind = "restart"
            start = "18s"
            length = "1s"
            share = 0.3
            """;

    private final Map<Long, Double> peaks = new HashMap<>();
    private final Map<Long, Double> informedPeaks = new HashMap<>();

    /**
     * What one run gave.
     *
     * @param peaks of each server that was cold, the most it was sent, in parts of what lets it fall
     * @param faults how many were sent more than that, two thirds of it by those who knew
     */
    public record Result(List<Double> peaks, long faults) {}

    private ColdLoadExperiment() {}

    @Override
    public void coldLoadMeasured(OrderServer server, double offered, double allowed, double informed) {
        double part = offered / (allowed + 2 * Math.sqrt(allowed) + 2);
        peaks.merge(server.id(), part, Math::max);
        if (informed >= INFORMED) {
            informedPeaks.merge(server.id(), part, Math::max);
        }
    }

    /**
     * A fleet, and what it is put through.
     *
     * @param utilisation of all servers' capacity, before bursts
     * @param factor how many times its present capacity a cold server bears
     * @param replaced part of the servers that cold ones replace within two seconds
     */
    public record Fleet(int instances, int servers, double utilisation, double factor, double replaced) {}

    /** Plays one fleet in virtual time. */
    static Result play(Policy policy, Fleet fleet, long seed) {
        ColdLoadExperiment sums = new ColdLoadExperiment();
        VirtualWorld world = new VirtualWorld(
                ScenarioFile.parse(
                        "cold-sums.toml",
                        SCENARIO.formatted(
                                fleet.servers, fleet.instances, fleet.utilisation, fleet.factor, fleet.replaced)),
                ExperimentArm.of(policy),
                seed);
        world.watchCold(sums);
        world.play();
        return new Result(
                List.copyOf(sums.peaks.values()),
                sums.informedPeaks.values().stream().filter(each -> each > 1).count());
    }

    /** Prints a line for each size; arguments: factor, utilisation, part replaced, seeds, largest size. */
    public static void main(String[] arguments) {
        double factor = Double.parseDouble(arguments[0]);
        double utilisation = Double.parseDouble(arguments[1]);
        double replaced = Double.parseDouble(arguments[2]);
        int seeds = Integer.parseInt(arguments[3]);
        int largest = Integer.parseInt(arguments[4]);
        int[][] sizes = {{5, 12}, {14, 60}, {30, 40}, {100, 200}, {2000, 200}};
        System.out.println("instances servers cold median p99 most over over-by-who-knew");
        for (int[] size : sizes) {
            if (size[0] > largest) {
                return;
            }
            List<Double> all = new ArrayList<>();
            long faults = 0;
            for (int seed = 1; seed <= seeds; seed++) {
                Fleet fleet = new Fleet(size[0], size[1], utilisation, factor, replaced);
                Result result = play(Policy.MODULE, fleet, seed);
                all.addAll(result.peaks());
                faults += result.faults();
            }
            all.sort(null);
            System.out.printf(
                    Locale.ROOT,
                    "%d %d %d %.2f %.2f %.2f %d %d%n",
                    size[0],
                    size[1],
                    all.size(),
                    all.get(all.size() / 2),
                    all.get(all.size() * 99 / 100),
                    all.get(all.size() - 1),
                    all.stream().filter(each -> each > 1).count(),
                    faults);
        }
    }
}

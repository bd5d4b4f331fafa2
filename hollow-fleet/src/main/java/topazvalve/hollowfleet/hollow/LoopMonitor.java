package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * The instances of one loop, watched from there: how long each change took to be in force, what each reads
 * and writes, and, every second, whether anything that is due is missing. On the loop alone, but for
 * {@link HollowMetrics}, which is handed out once it is no longer written.
 */
final class LoopMonitor {
    private static final long LOOK_MS = 1_000;

    private final EventLoop loop;
    private final ChangeHistory truth;
    private final FleetOracle oracle;
    private final LongSupplier clock;
    private final int lists;
    private final int first;
    private final List<HollowSidecar> instances = new ArrayList<>();
    private final List<Meter> meters = new ArrayList<>();
    private HollowMetrics figures = new HollowMetrics();
    private long looks;

    /** What one instance has read and written in the last seconds. */
    private static final class Meter {
        private final int[] seconds;
        private long seen;
        private long inWindow;
        private boolean over;
        private boolean late;

        Meter(int window) {
            seconds = new int[window];
        }

        /** Takes the bytes of the second that has ended; returns them. */
        int take(long total, long number) {
            int place = (int) (number % seconds.length);
            int last = (int) Math.min(Integer.MAX_VALUE, total - seen);
            seen = total;
            inWindow += last - seconds[place];
            seconds[place] = last;
            return last;
        }
    }

    /**
     * Watches no instance yet.
     *
     * @param first changes up to this one were made before anybody looked
     */
    LoopMonitor(EventLoop loop, ChangeHistory truth, FleetOracle oracle, LongSupplier clock, int lists, int first) {
        this.loop = loop;
        this.truth = truth;
        this.oracle = oracle;
        this.clock = clock;
        this.lists = lists;
        this.first = first;
    }

    EventLoop loop() {
        return loop;
    }

    List<HollowSidecar> instances() {
        return instances;
    }

    void add(HollowSidecar instance) {
        instances.add(instance);
        meters.add(new Meter(oracle.allowed().windowSeconds()));
    }

    /** Begins to look, once a second. */
    void begin() {
        loop.scheduleAtFixedRate(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** What an instance has to say; part of it is the oracle's. */
    HollowSidecar.Observer observer() {
        return new HollowSidecar.Observer() {
            @Override
            public void replaced(
                    HollowSidecar instance, int server, int before, EndpointStatus had, int now, EndpointStatus has) {
                long at = clock.getAsLong();
                oracle.replaced(instance.number(), server, before, had, now, has, at);
                if (!instance.empty()) {
                    took(instance, before, now, at);
                }
            }

            @Override
            public void listed(HollowSidecar instance, boolean first, boolean filled) {
                long took = clock.getAsLong() - instance.owedSince();
                if (first) {
                    record(figures.answers, took);
                }
                if (filled) {
                    record(figures.lists, took);
                }
            }
        };
    }

    /** Every change between the two counts as in force now: the later ones have taken their place. */
    private void took(HollowSidecar instance, int before, int now, long at) {
        for (int change = now; change > Math.max(before, first); change = truth.before(change)) {
            boolean waited = truth.at(change) < instance.owedSince();
            record(waited ? figures.caughtUp : figures.changes, at - Math.max(truth.at(change), instance.owedSince()));
        }
    }

    private static void record(Histogram to, long nanos) {
        to.recordValue(Math.max(0, Math.min(nanos / 1_000, HollowMetrics.LONGEST_MICROS)));
    }

    private void look() {
        long now = clock.getAsLong();
        looks++;
        int[][] due = new int[lists][];
        for (int i = 0; i < instances.size(); i++) {
            HollowSidecar each = instances.get(i);
            Meter meter = meters.get(i);
            int bytes = meter.take(each.tap().bytes(), looks);
            figures.bytes += bytes;
            figures.busiestSecond = Math.max(figures.busiestSecond, bytes);
            figures.busiestWindow = Math.max(figures.busiestWindow, meter.inWindow);
            if (!meter.over) {
                meter.over = oracle.bytes(each.number(), meter.inWindow, now);
            }
            if (each.owed() && now - each.owedSince() > oracle.allowed().late() && !meter.late) {
                int source = each.source();
                if (due[source] == null) {
                    due[source] = oracle.due(now, server -> server % lists == source ? 1 : 0);
                }
                meter.late = late(each, due[source], now);
            }
        }
    }

    private boolean late(HollowSidecar instance, int[] due, long now) {
        int missing = 0;
        int example = 0;
        for (int server = 0; server < due.length; server++) {
            if (!oracle.inForce(
                    due[server], instance.held().change(server), instance.held().state(server))) {
                missing++;
                example = due[server];
            }
        }
        if (missing > 0) {
            oracle.late(instance.number(), example, missing, now);
        }
        return missing > 0;
    }

    /** How many lack some of what is true now and owed to them, or are to start; on the loop. */
    int behind() {
        int behind = 0;
        for (HollowSidecar each : instances) {
            boolean lacks = each.isStarting() || (each.owed() && (!each.answered() || each.empty()));
            for (int server = each.source(); !lacks && each.owed() && server < truth.servers(); server += lists) {
                lacks = !oracle.inForce(
                        truth.latest(server),
                        each.held().change(server),
                        each.held().state(server));
            }
            behind += lacks ? 1 : 0;
        }
        return behind;
    }

    /** The figures since this was last asked; each rule may be broken anew by each instance. */
    HollowMetrics turn() {
        HollowMetrics done = figures;
        done.connections =
                instances.stream().mapToLong(each -> each.tap().connections()).sum();
        figures = new HollowMetrics();
        meters.forEach(each -> {
            each.over = false;
            each.late = false;
        });
        return done;
    }
}

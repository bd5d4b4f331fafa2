package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;

/**
 * One sidecar without a request path: the real discovery client, the real decision module that says when to
 * follow and how long to back off, on the real loop's timers and sockets. The module is shown the first few
 * servers of each list alone, so that thousands fit into a process; the whole list in force is kept in
 * {@link EndpointView}. On one loop.
 */
final class HollowSidecar {
    /** The servers that the module is shown. */
    static final int SHOWN = 8;

    private final int number;
    private final int zone;
    private final int source;
    private final EventLoop loop;
    private final Targets targets;
    private final SettingsReader options;
    private final LongSupplier clock;
    private final Observer observer;
    private final TrafficCounter tap;
    private final EventLoop tapped;
    private final EndpointView held;
    private Life life;
    private boolean empty;
    private boolean answered;
    private boolean starting;
    private long reachableSince;
    private boolean reachable = true;

    /** What the oracle is told, on the instance's loop. */
    interface Observer {
        void replaced(HollowSidecar instance, int server, int before, EndpointStatus had, int now, EndpointStatus has);

        /**
         * An answer was taken over.
         *
         * @param first whether it is the first of this life
         * @param filled whether it is the whole list of one that had none
         */
        void listed(HollowSidecar instance, boolean first, boolean filled);
    }

    /** One that is not alive yet; {@code targets} is who serves it lists. */
    HollowSidecar(
            int number,
            int zone,
            int source,
            EventLoop loop,
            Targets targets,
            SettingsReader options,
            LongSupplier clock,
            ChangeHistory truth,
            Observer observer) {
        this.number = number;
        this.zone = zone;
        this.source = source;
        this.loop = loop;
        this.targets = targets;
        this.options = options;
        this.clock = clock;
        this.observer = observer;
        this.tap = new TrafficCounter(loop);
        this.tapped = tap.tapped();
        this.held = new EndpointView(truth);
    }

    /** One life from a start to a kill: what is left of it after that does nothing. */
    private final class Life implements EndpointDiscovery, EndpointDiscovery.Listener {
        private final ExchangeManager<Object, Object> exchanges;
        private final DiscoveryClient discovery;
        private final long startedAt = clock.getAsLong();
        private boolean over;

        Life(long seed, Known known) {
            Scheduler time = new Scheduler() {
                private final Scheduler real = new EventLoopScheduler(loop);

                @Override
                public long now() {
                    return real.now();
                }

                @Override
                public Timer schedule(long nanoseconds, Runnable action) {
                    return real.schedule(nanoseconds, () -> {
                        if (!over) {
                            action.run();
                        }
                    });
                }
            };
            exchanges = new ExchangeManager<>(
                    time,
                    options,
                    (settings, actions) -> new SidecarPolicy(settings, seed, actions),
                    new UnusedBackend(),
                    1,
                    new Metrics(),
                    new ClassTable());
            discovery = new DiscoveryClient(
                    tapped,
                    targets.source(),
                    new EndpointUpdate(known.rev(), true, known.shown(), known.versions()),
                    null,
                    RelaySelector.of("hollow-" + number, targets.relays(), seed),
                    this);
        }

        void start(Known known) {
            exchanges.start(this, known.shown());
        }

        void end() {
            over = true;
            exchanges.stop();
        }

        @Override
        public void endpointsUpdated(UpdateKind kind, List<Endpoint> targets) {
            if (over) {
                return;
            }
            if (kind != UpdateKind.FAILED) {
                held.take(
                        kind,
                        targets,
                        (server, before, had, now, has) ->
                                observer.replaced(HollowSidecar.this, server, before, had, now, has));
                boolean first = !answered;
                answered = true;
                boolean filled = empty && kind == UpdateKind.FULL;
                empty &= !filled;
                observer.listed(HollowSidecar.this, first, filled);
            }
            exchanges.endpointsUpdated(
                    kind,
                    targets.stream()
                            .filter(each -> {
                                int server = Names.number(each.uid());
                                return server >= 0 && server < SHOWN;
                            })
                            .toList());
        }

        @Override
        public void watch(boolean on) {
            if (!over) {
                discovery.watch(on);
            }
        }

        @Override
        public void fetch() {
            if (!over) {
                discovery.fetch();
            }
        }

        @Override
        public void close() {
            discovery.close();
        }
    }

    /** Starts with the list that it is given; nothing of the life before is left. */
    void start(long seed, Known known) {
        starting = false;
        held.set(known);
        empty = known.rev() == 0;
        answered = false;
        reachableSince = clock.getAsLong();
        life = new Life(seed, known);
        life.start(known);
    }

    /** A start is planned, so that nobody takes it for done with. */
    void starting() {
        starting = true;
    }

    /** Whether it is to start and has not. */
    boolean isStarting() {
        return starting;
    }

    /** Dies: its connections end, and nothing it had planned happens. */
    void kill() {
        if (life != null) {
            life.end();
            life = null;
        }
    }

    /** From now on who serves it can, or can't, be reached. */
    void reachable(boolean now) {
        if (now && !reachable) {
            reachableSince = clock.getAsLong();
        }
        reachable = now;
    }

    /** Whether anything is owed to it: it is alive and its source can be reached. */
    boolean owed() {
        return life != null && reachable;
    }

    /** Since when it has been alive with its source in reach, on the clock it was given. */
    long owedSince() {
        return reachableSince;
    }

    /** Whether it has had no list since it started. */
    boolean empty() {
        return empty;
    }

    /** Whether it has had an answer since it started. */
    boolean answered() {
        return answered;
    }

    boolean alive() {
        return life != null;
    }

    int number() {
        return number;
    }

    int zone() {
        return zone;
    }

    /** The number of the source whose servers it is owed. */
    int source() {
        return source;
    }

    EventLoop loop() {
        return loop;
    }

    TrafficCounter tap() {
        return tap;
    }

    EndpointView held() {
        return held;
    }

    /** When it last started. */
    long startedAt() {
        return life == null ? 0 : life.startedAt;
    }
}

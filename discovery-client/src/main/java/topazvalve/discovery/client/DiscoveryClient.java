package topazvalve.discovery.client;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;
import topazvalve.discovery.state.FailoverStateMachine;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.LoadBalancer.UpdateKind;

/**
 * Asks discovery for the list: a watch on its changes, or the whole once. The module decides when. An answer
 * that is wrong, cut, without end or empty is not taken: the list in force stays, and one log line says why.
 *
 * <p>Where there are relays to choose from they are asked in discovery's place, and {@link FailoverStateMachine} says
 * whom and when: the next one serves at once, so that there is nothing for the module to wait for.
 */
public final class DiscoveryClient implements EndpointDiscovery {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final EventLoop loop;
    private final EndpointDiscovery.Listener listener;
    private final Set<Call> calls = new HashSet<>();
    private InetSocketAddress address;
    private long rev;
    /** How far the list in force has come at each source; empty where nobody says. */
    private VersionVector versions;

    private boolean moved;
    private boolean wanted;
    /** How soon a watch that has ended is opened again; null where the module says so. */
    private final PushedDiscovery pushed;
    /** Who is asked in discovery's place; null where discovery itself is. */
    private final RelaySelector relays;
    /** Whether any server is, or was, in the list in force. */
    private boolean listed;

    private Call watch;
    /** A watch at the first relay, opened beside the one in force. */
    private Call returning;
    /** Why the last call failed; null if it did not. */
    private DiscoveryFailure fault;

    private long heardAt = System.nanoTime();
    private long askedAnew;
    /**
     * Tells {@code listener} of each answer and each failure, on the loop; {@code known} is in force now.
     * {@code pushed} is null where the module says when to follow.
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointUpdate known,
            PushedDiscovery pushed,
            EndpointDiscovery.Listener listener) {
        this(loop, address, known, pushed, null, listener);
    }

    /** As above; {@code relays}, if there are any, are asked in place of {@code address}. */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointUpdate known,
            PushedDiscovery pushed,
            RelaySelector relays,
            EndpointDiscovery.Listener listener) {
        this.loop = loop;
        this.pushed = pushed;
        this.relays = relays;
        this.address = address;
        this.rev = known.revision();
        this.versions = known.versions();
        this.listed = !known.endpoints().isEmpty();
        this.listener = listener;
    }

    /**
     * Where lists are pushed: follows from now on by itself. The module, to which lists come unasked there,
     * does not ask; and what is there to be told counts as told from the first moment.
     */
    public void followPushed() {
        if (pushed != null) {
            watch(true);
        }
    }

    private void followOn() {
        if (wanted && watch == null) {
            open();
        }
    }

    private void open() {
        watch = new Call(true, relays == null ? address : relays.now());
        watch.open();
    }

    /** Follows changes from the last one known; a watch that is asked for again replaces the old one. */
    @Override
    public void watch(boolean on) {
        wanted = on;
        closeWatches();
        if (on) {
            if (relays != null) {
                relays.following().start();
            }
            open();
        }
    }

    private void closeWatches() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (returning != null) {
            returning.close();
            returning = null;
        }
    }

    /**
     * From now on another service is asked. What the old one may still say changes nothing; calls that were
     * out begin again at the new one. Its versions need not follow on from the old one's, so its whole list
     * is asked for. Relays stay those that they are.
     */
    public void changeAddress(InetSocketAddress to) {
        if (to.equals(address) || relays != null) {
            return;
        }
        address = to;
        rev = 0;
        moved = true;
        int fetches = 0;
        for (Call call : List.copyOf(calls)) {
            fetches += call.watching ? 0 : 1;
            call.close();
        }
        watch(wanted);
        for (int i = 0; i < fetches; i++) {
            fetch();
        }
    }

    @Override
    public void fetch() {
        new Call(false, relays == null ? address : relays.now()).open();
    }

    @Override
    public void close() {
        wanted = false;
        watch = null;
        returning = null;
        List.copyOf(calls).forEach(Call::close);
    }

    /** How far the list in force has come at each source; empty where nobody says. */
    public VersionVector versions() {
        return versions;
    }

    /** The version of the list in force, as who is asked counts. */
    public long revision() {
        return rev;
    }

    /** Adds figures where relays are asked: whom, how long ago it was heard, and how often another was. */
    public void printMetrics(StringBuilder to) {
        if (relays != null) {
            to.append("list_relay=")
                    .append(RelaySelector.text(relays.now()))
                    .append("\nlist_followed=")
                    .append(relays.following().isFollowing() ? 1 : 0)
                    .append("\nlist_heard_ms=")
                    .append(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardAt))
                    .append("\nlist_asked_anew=")
                    .append(askedAnew)
                    .append('\n');
        }
    }

    /** The watch has ended: with relays the next is asked, at once or once a round's pause is over. */
    private void askNext(long retryAfterMs) {
        boolean followed = relays.following().isFollowing();
        FailoverStateMachine.Connect next = relays.following().rejected(TimeUnit.MILLISECONDS.toNanos(retryAfterMs));
        askedAnew++;
        if (next.delayNanos() > 0 && !followed) {
            LOG.warn(
                    "no relay responds, keeping the current endpoint list; retrying in {} ms",
                    TimeUnit.NANOSECONDS.toMillis(next.delayNanos()));
        }
        loop.schedule(
                () -> {
                    if (wanted && watch == null) {
                        relays.following().connecting();
                        open();
                    }
                },
                next.delayNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void returnLater() {
        loop.schedule(
                () -> {
                    if (wanted
                            && returning == null
                            && relays.following().failback() instanceof FailoverStateMachine.Connect first) {
                        returning = new Call(true, relays.order().get(first.index()));
                        returning.open();
                    }
                },
                relays.following().failbackDelayNanos(),
                TimeUnit.NANOSECONDS);
    }

    private final class Call implements DiscoveryCall.Listener {
        private final boolean watching;
        private final DiscoveryCall call;
        /** Changes up to this version came with a whole list that was asked for meanwhile. */
        private long outdated = -1;
        /** It has not answered in time, and the next has been asked for. */
        private boolean late;

        Call(boolean watching, InetSocketAddress to) {
            this.watching = watching;
            this.call = new DiscoveryCall(loop, to, watching, this);
        }

        void open() {
            calls.add(this);
            String query = watching ? "?watch=1&from=" + rev : "";
            call.open(
                    pushed == null ? DiscoveryCall.CONNECT_TIMEOUT_MILLIS : pushed.connectTimeoutMillis(),
                    watching && !versions.isEmpty() ? query + "&versions=" + versions : query);
        }

        void close() {
            calls.remove(this);
            call.close();
        }

        /** False if nothing more is to be heard of it. */
        private boolean answered() {
            if (late && watching && !takesOver()) {
                close();
                return false;
            }
            late = false;
            fault = null;
            heardAt = System.nanoTime();
            boolean first = !call.isAnswered();
            call.answered();
            if (relays == null || !watching || !first) {
                return true;
            }
            if (returning == this) {
                returning = null;
                if (watch != null) {
                    watch.close();
                }
                watch = this;
                relays.following().failedBack();
            } else {
                relays.following().answered();
                returnLater();
            }
            return true;
        }

        /** An answer that comes late is as good as another's, unless that one was sooner. */
        private boolean takesOver() {
            if (!wanted || (watch != null && watch.call.isAnswered())) {
                return false;
            }
            if (watch != null) {
                watch.close();
            }
            watch = this;
            return true;
        }

        /**
         * The watch has fallen silent. That says nothing of discovery's load, so the next one is opened at
         * once; sidecars whose watches fall silent together notice it spread over the time between lines.
         */
        @Override
        public void watchIdle() {
            if (relays != null) {
                call.fail(new DiscoveryFailure.IdleWatch(DiscoveryCall.IDLE_TIMEOUT_MILLIS));
            } else if (watch == this) {
                LOG.warn("endpoint watch idle for {} ms, resubscribing", DiscoveryCall.IDLE_TIMEOUT_MILLIS);
                watch(true);
            }
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMs) {
            calls.remove(this);
            if (returning == this) {
                returning = null;
                returnLater();
                return;
            }
            if (!late) {
                askAgain(failure, retryAfterMs);
            }
        }

        /**
         * A call lost in a cut must not hold up the next: news counts as told 6 s after the cut is over, and
         * the next may have to wait for its turn as well. This one keeps its own place in discovery's queue.
         */
        @Override
        public void answerOverdue() {
            // A relay may hold a call for a while, and has no queue: its call fails later on.
            if (relays == null) {
                late = true;
                askAgain(new DiscoveryFailure.Overdue(), 0);
            }
        }

        private void askAgain(DiscoveryFailure failure, long retryAfterMs) {
            if (!failure.equals(fault)) {
                LOG.warn("endpoint update failed, keeping the current endpoint list: {}", failure.message());
            }
            fault = failure;
            boolean followed = watch == this;
            watch = followed ? null : watch;
            if (followed && relays != null) {
                askNext(retryAfterMs);
            } else if (pushed == null) {
                listener.endpointsUpdated(UpdateKind.FAILED, List.of());
            } else if (followed) {
                // The module, which did not ask, is not to wait and ask again.
                loop.schedule(DiscoveryClient.this::followOn, pushed.backoffMillis(), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void heartbeatReceived() {
            boolean first = watching && !call.isAnswered();
            if ((first || call.isAnswered()) && answered() && first) {
                // Nothing has changed since the version known: that, too, is the watch's answer.
                listener.endpointsUpdated(UpdateKind.DELTA, List.of());
            }
        }

        @Override
        public void objectReceived(byte[] text) throws IOException {
            JsonNode node = JsonReader.read(text);
            if (!node.path("rev").isWhole() || !node.path("targets").isArray()) {
                call.fail(new DiscoveryFailure.InvalidUpdate());
                return;
            }
            EndpointUpdate listing = EndpointUpdate.of(node);
            if (listing.fullSnapshot() && listing.endpoints().isEmpty() && listed) {
                call.fail(new DiscoveryFailure.EmptySnapshot());
                return;
            }
            if (!watching && !moved && relays == null && listing.revision() < rev) {
                call.fail(new DiscoveryFailure.StaleVersion(Long.toString(listing.revision()), Long.toString(rev)));
                return;
            }
            if ((!watching || !call.isAnswered()) && listing.versions().isBehind(versions)) {
                call.fail(new DiscoveryFailure.StaleVersion(listing.versions().toString(), versions.toString()));
                return;
            }
            take(listing);
        }

        private void take(EndpointUpdate listing) {
            if (!answered()) {
                return;
            }
            if (watching && !listing.fullSnapshot() && listing.revision() <= outdated) {
                return;
            }
            listed |= !listing.endpoints().isEmpty();
            rev = listing.revision();
            versions = versions.merge(listing.versions());
            if (!watching && watch != null) {
                watch.outdated = rev;
            }
            if (moved) {
                moved = false;
                if (!listing.fullSnapshot()) {
                    // Only changes: who was listed by the old service and is not by this one would stay.
                    fetch();
                }
            }
            listener.endpointsUpdated(listing.fullSnapshot() ? UpdateKind.FULL : UpdateKind.DELTA, listing.endpoints());
        }
    }
}

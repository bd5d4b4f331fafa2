package topazvalve.sidecar.discovery;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.servers.ServerList;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.lists.Following;
import topazvalve.lists.Versions;
import topazvalve.sidecar.json.Json;
import topazvalve.sidecar.json.Node;

/**
 * Asks discovery for the list: a watch on its changes, or the whole once. The module decides when. An answer
 * that is wrong, cut, without end or empty is not taken: the list in force stays, and one log line says why.
 *
 * <p>Where there are relays to choose from they are asked in discovery's place, and {@link Following} says
 * whom and when: the next one serves at once, so that there is nothing for the module to wait for.
 */
public final class Discovery implements ServerList {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final EventLoop loop;
    private final ServerList.Listener listener;
    private final Set<Call> calls = new HashSet<>();
    private InetSocketAddress address;
    private long rev;
    /** How far the list in force has come at each source; empty where nobody says. */
    private Versions versions;

    private boolean moved;
    private boolean wanted;
    /** How soon a watch that has ended is opened again; null where the module says so. */
    private final Pushed pushed;
    /** Who is asked in discovery's place; null where discovery itself is. */
    private final Relays relays;
    /** Whether any server is, or was, in the list in force. */
    private boolean listed;

    private Call watch;
    /** A watch at the first relay, opened beside the one in force. */
    private Call returning;
    /** Why the last call failed; null if it did not. */
    private String fault;

    private long heardAt = System.nanoTime();
    private long askedAnew;
    /**
     * Tells {@code listener} of each answer and each failure, on the loop; {@code known} is in force now.
     * {@code pushed} is null where the module says when to follow.
     */
    public Discovery(
            EventLoop loop, InetSocketAddress address, Listing known, Pushed pushed, ServerList.Listener listener) {
        this(loop, address, known, pushed, null, listener);
    }

    /** As above; {@code relays}, if there are any, are asked in place of {@code address}. */
    public Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Listing known,
            Pushed pushed,
            Relays relays,
            ServerList.Listener listener) {
        this.loop = loop;
        this.pushed = pushed;
        this.relays = relays;
        this.address = address;
        this.rev = known.rev();
        this.versions = known.versions();
        this.listed = !known.targets().isEmpty();
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
                relays.following().begin();
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
    public void move(InetSocketAddress to) {
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
    public Versions versions() {
        return versions;
    }

    /** The version of the list in force, as who is asked counts. */
    public long rev() {
        return rev;
    }

    /** Adds figures where relays are asked: whom, how long ago it was heard, and how often another was. */
    public void print(StringBuilder to) {
        if (relays != null) {
            to.append("list_relay=")
                    .append(Relays.text(relays.now()))
                    .append("\nlist_followed=")
                    .append(relays.following().following() ? 1 : 0)
                    .append("\nlist_heard_ms=")
                    .append(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardAt))
                    .append("\nlist_asked_anew=")
                    .append(askedAnew)
                    .append('\n');
        }
    }

    /** The watch has ended: with relays the next is asked, at once or once a round's pause is over. */
    private void askNext(long retryAfterMs) {
        boolean followed = relays.following().following();
        Following.Ask next = relays.following().refused(TimeUnit.MILLISECONDS.toNanos(retryAfterMs));
        askedAnew++;
        if (next.after() > 0 && !followed) {
            LOG.warn(
                    "no relay answers, the list in force stays; asked again in {} ms",
                    TimeUnit.NANOSECONDS.toMillis(next.after()));
        }
        loop.schedule(
                () -> {
                    if (wanted && watch == null) {
                        relays.following().asks();
                        open();
                    }
                },
                next.after(),
                TimeUnit.NANOSECONDS);
    }

    private void returnLater() {
        loop.schedule(
                () -> {
                    if (wanted && returning == null && relays.following().mayReturn() instanceof Following.Ask first) {
                        returning = new Call(true, relays.order().get(first.place()));
                        returning.open();
                    }
                },
                relays.following().returnAfter(),
                TimeUnit.NANOSECONDS);
    }

    private final class Call implements ListCall.Owner {
        private final boolean watching;
        private final ListCall call;
        /** Changes up to this version came with a whole list that was asked for meanwhile. */
        private long outdated = -1;
        /** It has not answered in time, and the next has been asked for. */
        private boolean late;

        Call(boolean watching, InetSocketAddress to) {
            this.watching = watching;
            this.call = new ListCall(loop, to, watching, this);
        }

        void open() {
            calls.add(this);
            String query = watching ? "?watch=1&from=" + rev : "";
            call.open(
                    pushed == null ? ListCall.CONNECT_TIMEOUT_MS : pushed.connectMs(),
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
                relays.following().returned();
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
        public void silent() {
            if (relays != null) {
                call.fail("no whole line for " + ListCall.SILENCE_MS + " ms");
            } else if (watch == this) {
                LOG.warn("watch opened anew: no whole line for {} ms", ListCall.SILENCE_MS);
                watch(true);
            }
        }

        @Override
        public void failed(String why, long retryAfterMs) {
            calls.remove(this);
            if (returning == this) {
                returning = null;
                returnLater();
                return;
            }
            if (!late) {
                askAgain(why, retryAfterMs);
            }
        }

        /**
         * A call lost in a cut must not hold up the next: news counts as told 6 s after the cut is over, and
         * the next may have to wait for its turn as well. This one keeps its own place in discovery's queue.
         */
        @Override
        public void late() {
            // A relay may hold a call for a while, and has no queue: its call fails later on.
            if (relays == null) {
                late = true;
                askAgain(ListCall.NO_ANSWER, 0);
            }
        }

        private void askAgain(String why, long retryAfterMs) {
            if (!why.equals(fault)) {
                LOG.warn("list not taken, the one in force stays: {}", why);
            }
            fault = why;
            boolean followed = watch == this;
            watch = followed ? null : watch;
            if (followed && relays != null) {
                askNext(retryAfterMs);
            } else if (pushed == null) {
                listener.listed(ListKind.FAILED, List.of());
            } else if (followed) {
                // The module, which did not ask, is not to wait and ask again.
                loop.schedule(Discovery.this::followOn, pushed.pauseMs(), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void empty() {
            boolean first = watching && !call.isAnswered();
            if ((first || call.isAnswered()) && answered() && first) {
                // Nothing has changed since the version known: that, too, is the watch's answer.
                listener.listed(ListKind.DELTA, List.of());
            }
        }

        @Override
        public void object(byte[] text) throws IOException {
            Node node = Json.read(text);
            if (!node.path("rev").isWhole() || !node.path("targets").isArray()) {
                call.fail("a line that is no list");
                return;
            }
            Listing listing = Listing.of(node);
            if (listing.all() && listing.targets().isEmpty() && listed) {
                call.fail("the whole list is empty");
                return;
            }
            if (!watching && !moved && relays == null && listing.rev() < rev) {
                call.fail("version " + listing.rev() + " is older than " + rev);
                return;
            }
            if ((!watching || !call.isAnswered()) && listing.versions().behind(versions)) {
                call.fail("version " + listing.versions() + " is older than " + versions);
                return;
            }
            take(listing);
        }

        private void take(Listing listing) {
            if (!answered()) {
                return;
            }
            if (watching && !listing.all() && listing.rev() <= outdated) {
                return;
            }
            listed |= !listing.targets().isEmpty();
            rev = listing.rev();
            versions = versions.after(listing.versions());
            if (!watching && watch != null) {
                watch.outdated = rev;
            }
            if (moved) {
                moved = false;
                if (!listing.all()) {
                    // Only changes: who was listed by the old service and is not by this one would stay.
                    fetch();
                }
            }
            listener.listed(listing.all() ? ListKind.FULL : ListKind.DELTA, listing.targets());
        }
    }
}

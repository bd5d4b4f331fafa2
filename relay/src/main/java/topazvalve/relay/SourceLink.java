package topazvalve.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.lists.Following;
import topazvalve.lists.ListState;
import topazvalve.lists.ListState.Taken;
import topazvalve.lists.ListState.Update;
import topazvalve.lists.Version;
import topazvalve.lists.Versions;
import topazvalve.relay.RelaySettings.SourceSettings;
import topazvalve.sidecar.discovery.ListCall;

/** Follows one source, by today's published form of discovery, into the state. On the loop alone. */
final class SourceLink {
    /** How often a relay asks for changes from before its time, for followers with older versions. */
    static final int MOST_FILLS = 8;

    private static final Logger LOG = LoggerFactory.getLogger("source");

    /** Hears what became of the state. */
    interface Listener {
        /** A line was taken: {@code before} is how far the state had come. */
        void taken(Taken taken, Versions before);

        /** Asked for earlier changes, the source has answered or failed. */
        void filled();
    }

    private enum State {
        CLOSED,
        PAUSING,
        ASKING,
        FOLLOWING
    }

    private final EventLoop loop;
    private final SourceSettings settings;
    private final ListState lists;
    private final Following following;
    private final Listener listener;
    private State state = State.CLOSED;
    private ListCall call;
    private ListCall fill;
    private int fillsLeft = MOST_FILLS;
    /** What is here does not follow on: the whole list is asked for. */
    private boolean anew = true;

    private long heardAt;
    private String fault = "";

    SourceLink(EventLoop loop, SourceSettings settings, ListState lists, long seed, Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.lists = lists;
        this.following = new Following(settings.addresses().size(), new SplittableRandom(seed));
        this.listener = listener;
        this.heardAt = System.nanoTime() - TimeUnit.DAYS.toNanos(1);
    }

    String name() {
        return settings.name();
    }

    void start() {
        ask(following.begin());
    }

    void close() {
        state = State.CLOSED;
        if (call != null) {
            call.close();
        }
        if (fill != null) {
            fill.close();
        }
    }

    /** How long ago the source said anything, nanoseconds. */
    long silentFor() {
        return System.nanoTime() - heardAt;
    }

    private Version version() {
        return lists.versions().at(name());
    }

    private void ask(Following.Ask next) {
        state = State.PAUSING;
        loop.schedule(
                () -> {
                    if (state == State.PAUSING) {
                        state = State.ASKING;
                        following.asks();
                        long from = anew || version() == null ? 0 : version().rev();
                        call = new ListCall(loop, settings.addresses().get(next.place()), true, new Watch(from));
                        call.open(ListCall.CONNECT_TIMEOUT_MS, "?watch=1&from=" + from);
                    }
                },
                next.after(),
                TimeUnit.NANOSECONDS);
    }

    /**
     * Asks for changes from before this relay began if a follower comes with such a version; whether there is
     * an answer to wait for.
     */
    boolean fill(Version from) {
        if (!lists.beforeLog(name(), from) || from.rev() == 0) {
            return false;
        }
        if (fill != null || fillsLeft == 0) {
            return fill != null;
        }
        fillsLeft--;
        fill = new ListCall(loop, settings.addresses().get(following.place()), true, new Fill(from));
        fill.open(ListCall.CONNECT_TIMEOUT_MS, "?watch=1&from=" + from.rev());
        return true;
    }

    private void heard() {
        heardAt = System.nanoTime();
        if (state == State.ASKING) {
            state = State.FOLLOWING;
            following.answered();
            call.answered();
            if (!fault.isEmpty()) {
                LOG.info("{}: heard again", name());
            }
            fault = "";
        }
    }

    private final class Watch implements ListCall.Owner {
        private final long from;
        private boolean first = true;

        Watch(long from) {
            this.from = from;
        }

        @Override
        public void object(byte[] text) throws IOException {
            Update update = SourceReader.read(text);
            if (first && from == 0 && !update.whole()) {
                // All that changed since nothing was there is all there is.
                update = new Update(update.version(), true, update.entries());
            }
            boolean begins = first;
            first = false;
            Versions before = lists.versions();
            Taken taken = lists.take(name(), update);
            switch (taken) {
                case SAME, CHANGED, FIRST -> {
                    anew = false;
                    heard();
                    listener.taken(taken, before);
                }
                case OLDER -> older(update, before, begins);
                case APART -> apart(update, before);
                default -> call.fail("the whole list is empty");
            }
        }

        /** Changes that an answer to {@link Fill} was ahead of are here already; a list must not be older. */
        private void older(Update update, Versions before, boolean begins) {
            if (update.whole()) {
                call.fail("version " + update.version() + " is older than " + before);
            } else if (begins) {
                apart(update, before);
            } else {
                heard();
            }
        }

        private void apart(Update update, Versions before) {
            anew = true;
            call.fail("version " + update.version() + " does not follow on " + before);
        }

        @Override
        public void empty() {
            if (version() == null) {
                call.fail("nothing has changed, but nothing is known");
            } else {
                heard();
            }
        }

        @Override
        public void late() {
            // Its place in the source's queue is worth more than a new one, unless there is another to ask.
            if (settings.addresses().size() > 1) {
                call.fail("no whole answer in time");
            }
        }

        @Override
        public void silent() {
            call.fail("no whole line for " + ListCall.SILENCE_MS + " ms");
        }

        @Override
        public void failed(String why, long retryAfterMs) {
            if (!why.equals(fault)) {
                LOG.warn("{}: not followed: {}", name(), why);
            }
            fault = why;
            ask(following.refused(TimeUnit.MILLISECONDS.toNanos(retryAfterMs)));
        }
    }

    /** One answer to the question what changed since an earlier version. */
    private final class Fill implements ListCall.Owner {
        private final Version from;

        Fill(Version from) {
            this.from = from;
        }

        private void over() {
            fill = null;
            listener.filled();
        }

        @Override
        public void object(byte[] text) throws IOException {
            take(SourceReader.read(text));
        }

        private void take(Update update) {
            fill.close();
            Versions before = lists.versions();
            Taken taken = lists.fill(name(), from, update);
            if (update.whole()) {
                // Its log does not reach back so far.
                fillsLeft = 0;
            }
            if (taken == Taken.SAME || taken == Taken.CHANGED) {
                listener.taken(taken, before);
            }
            over();
        }

        @Override
        public void empty() {
            take(new Update(version(), false, List.of()));
        }

        @Override
        public void late() {
            fill.fail("no answer in time");
        }

        @Override
        public void silent() {
            fill.fail("no answer in time");
        }

        @Override
        public void failed(String why, long retryAfterMs) {
            LOG.info("{}: earlier changes not told: {}", name(), why);
            over();
        }
    }
}

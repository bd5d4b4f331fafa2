package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.simulation.scenario.Scenario.News;

/**
 * What discovery knows of the servers, which is late: a process that ends or drains is noticed after a while,
 * a machine that falls silent after a longer one. How it is asked is not its concern.
 */
public final class EndpointDirectory {
    /** One line of the list. */
    public record Entry(OrderServer server, EndpointStatus state, long startedAt, long changedAtRevision) {}

    private static final int REMEMBERED = 4096;

    private final Clock clock;
    private final News news;
    private final RandomStreams chance;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> log = new ArrayList<>();
    private final List<Consumer<Entry>> followers = new ArrayList<>();
    private long revision = 1;
    private boolean down;

    /** An empty list. */
    public EndpointDirectory(Clock clock, News news, RandomStreams chance) {
        this.clock = clock;
        this.news = news;
        this.chance = chance;
    }

    /** Lists a server as it is, at once. */
    public void list(OrderServer server) {
        put(server, EndpointStatus.READY);
    }

    /** A server's state has changed, which is noticed after a while; {@code silently} after a longer one. */
    public void happened(OrderServer server, EndpointStatus state, boolean silently) {
        double delay = (silently ? news.silentNotice() : news.notice()).at(chance.part());
        long started = server.startedAt();
        clock.at(clock.now() + (long) (delay * 1e9), () -> {
            // What has been overtaken meanwhile is not listed any more.
            if (server.startedAt() == started) {
                put(server, state);
            }
        });
    }

    private void put(OrderServer server, EndpointStatus state) {
        Entry entry = new Entry(server, state, server.startedAt(), ++revision);
        if (state == EndpointStatus.REMOVED) {
            entries.remove(server.id());
        } else {
            entries.put(server.id(), entry);
        }
        log.add(entry);
        if (log.size() > REMEMBERED) {
            log.subList(0, REMEMBERED / 2).clear();
        }
        List.copyOf(followers).forEach(each -> each.accept(entry));
    }

    /** Follows every change from now on. */
    public void follow(Consumer<Entry> follower) {
        followers.add(follower);
    }

    /** All lines. */
    public List<Entry> all() {
        return List.copyOf(entries.values());
    }

    /** The newest change's number. */
    public long revision() {
        return revision;
    }

    /** The changes after a revision; null where they are no longer known. */
    public List<Entry> since(long after) {
        if (after > revision
                || (!log.isEmpty() && log.get(0).changedAtRevision() > after + 1)
                || (log.isEmpty() && after < revision)) {
            return null;
        }
        return log.stream().filter(each -> each.changedAtRevision() > after).toList();
    }

    /** Whether discovery answers nobody now. */
    public boolean down() {
        return down;
    }

    /** Ends or starts the service; the list stays. */
    public void down(boolean next) {
        down = next;
    }
}

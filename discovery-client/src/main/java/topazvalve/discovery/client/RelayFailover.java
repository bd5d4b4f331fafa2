package topazvalve.discovery.client;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.state.FailoverStateMachine;

/**
 * Schedules the timers of a {@link RelaySelector}: the reconnect to the next relay after a failure, and the failback
 * to the first relay. The watches themselves belong to {@link WatchManager}. Used on the event loop only.
 */
final class RelayFailover {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final EventLoop loop;
    private final RelaySelector relays;
    private long reconnects;

    RelayFailover(EventLoop loop, RelaySelector relays) {
        this.loop = loop;
        this.relays = relays;
    }

    /** Returns the address of the relay that is being connected to or followed. */
    InetSocketAddress currentAddress() {
        return relays.currentAddress();
    }

    /** Restarts at the first relay. */
    void restart() {
        relays.failover().start();
    }

    /** Records that the current relay has responded. */
    void responded() {
        relays.failover().responded();
    }

    /** Records that the first relay has responded to a failback and is now the current one. */
    void failedBack() {
        relays.failover().failedBack();
    }

    /** Records that the delay of {@link #scheduleReconnect} is over and the current relay is being connected to. */
    void connecting() {
        relays.failover().connecting();
    }

    /**
     * Records that the current relay has failed and schedules a connect to the next one: without delay, or after a
     * backoff once all relays have failed.
     *
     * @param retryAfterMillis the failed relay's Retry-After in milliseconds, 0 if it gave none
     * @param connect connects to the relay that is current at that time
     */
    void scheduleReconnect(long retryAfterMillis, Runnable connect) {
        boolean wasFollowing = relays.failover().isFollowing();
        FailoverStateMachine.Connect next = relays.failover().failed(TimeUnit.MILLISECONDS.toNanos(retryAfterMillis));
        reconnects++;
        if (next.delayNanos() > 0 && !wasFollowing) {
            LOG.warn(
                    "no relay responds, keeping the current endpoint list; retrying in {} ms",
                    TimeUnit.NANOSECONDS.toMillis(next.delayNanos()));
        }
        loop.schedule(connect, next.delayNanos(), TimeUnit.NANOSECONDS);
    }

    /** Schedules a failback attempt after a random delay. */
    void scheduleFailback(Runnable attempt) {
        loop.schedule(attempt, relays.failover().failbackDelayNanos(), TimeUnit.NANOSECONDS);
    }

    /** Returns the address to fail back to, or null if no failback is due. */
    InetSocketAddress failbackAddress() {
        return relays.failover().failback() instanceof FailoverStateMachine.Connect first
                ? relays.order().get(first.index())
                : null;
    }

    /** Appends metrics, one {@code name=value} per line. */
    void printMetrics(StringBuilder to, long millisSinceLastResponse) {
        to.append("list_relay=")
                .append(RelaySelector.hostAndPort(relays.currentAddress()))
                .append("\nlist_followed=")
                .append(relays.failover().isFollowing() ? 1 : 0)
                .append("\nlist_heard_ms=")
                .append(millisSinceLastResponse)
                .append("\nlist_asked_anew=")
                .append(reconnects)
                .append('\n');
    }
}

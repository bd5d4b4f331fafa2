package topazvalve.relay;

import topazvalve.discovery.state.EndpointStore;

/** Writes all metrics of a relay, gauges first, as {@code key=value} lines; {@code docs/relay.md} has the keys. */
final class MetricsPage {
    private final SubscriberRegistry subscribers;
    private final EndpointStore store;
    private final SourceGroup sources;
    private final RelayMetrics metrics;

    MetricsPage(SubscriberRegistry subscribers, EndpointStore store, SourceGroup sources, RelayMetrics metrics) {
        this.subscribers = subscribers;
        this.store = store;
        this.sources = sources;
        this.metrics = metrics;
    }

    /** Returns the page as it is now. */
    String render() {
        StringBuilder page = new StringBuilder();
        RelayMetrics.appendLine(page, "callers", subscribers.count());
        RelayMetrics.appendLine(page, "following", subscribers.followingCount());
        RelayMetrics.appendLine(page, "servers", store.liveCount());
        RelayMetrics.appendLine(page, "vouches", sources.isAnyHealthy() ? 1 : 0);
        page.append("versions=").append(store.versions()).append('\n');
        sources.appendIdleTimes(page);
        metrics.appendTo(page);
        return page.toString();
    }
}

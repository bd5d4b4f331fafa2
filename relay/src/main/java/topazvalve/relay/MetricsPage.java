package topazvalve.relay;

import topazvalve.discovery.state.EndpointStore;

/** Renders all metrics of a relay as {@code key=value} lines, gauges first; {@code docs/relay.md} lists the keys. */
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

    /** Returns the page with the current values. */
    String render() {
        MetricsText page = new MetricsText();
        page.add("callers", subscribers.count());
        page.add("following", subscribers.followingCount());
        page.add("servers", store.liveCount());
        page.add("vouches", sources.isAnyHealthy() ? 1 : 0);
        page.add("versions", store.versions().toString());
        sources.addIdleTimesTo(page);
        metrics.addTo(page);
        return page.toString();
    }
}

package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.function.Supplier;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;

/** Admits connections and routes their requests: the endpoint list, readiness and metrics. */
final class RequestHandler implements Subscriber.Listener {
    private static final String LIST_PATH = "/discovery/hosts";
    private static final String READY_PATH = "/_ready";
    private static final String METRICS_PATH = "/_vars";

    private final SubscriberRegistry subscribers;
    private final SourceGroup sources;
    private final EndpointStore store;
    private final CatchUpService catchUp;
    private final RequestRejector rejector;
    private final RelayMetrics metrics;
    private final Supplier<String> metricsPage;
    private boolean closed;

    RequestHandler(
            SubscriberRegistry subscribers,
            SourceGroup sources,
            EndpointStore store,
            CatchUpService catchUp,
            RequestRejector rejector,
            RelayMetrics metrics,
            Supplier<String> metricsPage) {
        this.subscribers = subscribers;
        this.sources = sources;
        this.store = store;
        this.catchUp = catchUp;
        this.rejector = rejector;
        this.metrics = metrics;
        this.metricsPage = metricsPage;
    }

    /** Closes all connections, including any that are accepted later. */
    void close() {
        closed = true;
        subscribers.forEach(Subscriber::close);
    }

    @Override
    public void connected(Subscriber subscriber) {
        subscribers.add(subscriber);
        if (closed) {
            subscriber.close();
        } else if (subscribers.isOverLimit()) {
            rejector.reject(subscriber, RejectionReason.TOO_MANY_SUBSCRIBERS);
        }
    }

    @Override
    public void disconnected(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    @Override
    public void becameWritable(Subscriber subscriber) {
        catchUp.becameWritable(subscriber);
    }

    @Override
    public void malformedRequestReceived(Subscriber subscriber) {
        respondInvalid(subscriber, new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, "not a call"));
    }

    @Override
    public void requestReceived(Subscriber subscriber, HttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (!request.method().equals(HttpMethod.GET)) {
            respond(subscriber, HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET is served\n");
            return;
        }
        switch (uri.path()) {
            case LIST_PATH -> handleListRequest(subscriber, uri);
            case READY_PATH -> respondReadiness(subscriber);
            case METRICS_PATH -> respond(subscriber, HttpResponseStatus.OK, metricsPage.get());
            default -> respond(subscriber, HttpResponseStatus.NOT_FOUND, "not served here\n");
        }
    }

    private void handleListRequest(Subscriber subscriber, QueryStringDecoder uri) {
        DiscoveryRequest request;
        try {
            request = DiscoveryRequest.parse(uri);
        } catch (InvalidRequestException e) {
            respondInvalid(subscriber, e);
            return;
        }
        serveList(subscriber, request);
    }

    private void serveList(Subscriber subscriber, DiscoveryRequest request) {
        metrics.countListRequest();
        if (!sources.isAnyHealthy()) {
            rejector.reject(subscriber, RejectionReason.NO_HEALTHY_SOURCE);
        } else if (request.watch()) {
            subscriber.setVersions(versionsOf(request));
            catchUp.catchUp(subscriber);
        } else {
            catchUp.sendSnapshotAndClose(subscriber);
        }
    }

    /**
     * Returns the versions that a subscriber has. A bare revision is unambiguous only if the relay has a single source
     * that sends no epoch; otherwise it is ignored.
     */
    private VersionVector versionsOf(DiscoveryRequest request) {
        if (!request.versions().isEmpty() || request.from() == 0 || sources.size() > 1) {
            return request.versions();
        }
        String onlySource = sources.firstName();
        SourceVersion current = store.versions().versionOf(onlySource);
        if (current == null || current.epoch() > 0) {
            return VersionVector.NONE;
        }
        return VersionVector.of(onlySource, new SourceVersion(0, request.from()));
    }

    private void respondReadiness(Subscriber subscriber) {
        if (sources.isAnyHealthy()) {
            respond(subscriber, HttpResponseStatus.OK, "ready\n");
        } else {
            respond(
                    subscriber,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    RejectionReason.NO_HEALTHY_SOURCE.responseBody());
        }
    }

    private void respondInvalid(Subscriber subscriber, InvalidRequestException invalid) {
        metrics.countInvalidRequest();
        respond(subscriber, invalid.status(), invalid.getMessage() + "\n");
    }

    private static void respond(Subscriber subscriber, HttpResponseStatus status, String body) {
        ByteBuf response = ResponseEncoder.encode(status, body);
        subscriber.respondAndClose(response);
    }
}

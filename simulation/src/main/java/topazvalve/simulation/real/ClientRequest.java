package topazvalve.simulation.real;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import topazvalve.simulation.model.RequestGenerator.GeneratedRequest;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.real.SentRequests.SentRequest;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;
import topazvalve.simulation.scenario.WorkClass.Repeatability;

/** One try of a client over HTTP, from its sending to what the client does about its end. */
final class ClientRequest {
    private static final byte[] BODY = "x".repeat(200).getBytes(StandardCharsets.US_ASCII);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How long after its deadline late attempts of a request are still recognised. */
    private static final long RETENTION_NANOS = 10_000_000_000L;

    private final RealTimeSimulation simulation;
    private final RealClients clients;
    private final int instance;
    private final GeneratedRequest generated;
    private final long firstSentAt;
    private final boolean isRetry;
    private final WorkClass requestClass;
    private final String id;
    private final Trace trace;
    private final long deadline;
    private final long timeLeftNanos;
    private Channel channel;
    private boolean reconnected;
    private boolean finished;

    /**
     * Creates a try that hasn't been sent yet.
     *
     * @param firstSentAt when the first try was meant to be sent, in nanoseconds of the clock
     */
    ClientRequest(
            RealTimeSimulation simulation,
            RealClients clients,
            int instance,
            GeneratedRequest generated,
            long firstSentAt,
            boolean isRetry) {
        this.simulation = simulation;
        this.clients = clients;
        this.instance = instance;
        this.generated = generated;
        this.firstSentAt = firstSentAt;
        this.isRetry = isRetry;
        this.requestClass = simulation.scenario().classes().get(generated.requestClass());
        long number = clients.nextId();
        this.id = SentRequests.id(instance, number);
        long now = simulation.clock().now();
        // The time of the first try runs from when it was meant to be sent.
        this.deadline = (isRetry ? now : firstSentAt) + generated.patienceNanos();
        this.timeLeftNanos = deadline - now;
        this.trace =
                new Trace(number, instance, requestClass, simulation.sinceStart(now), simulation.sinceStart(deadline));
    }

    /** Sends it. */
    void send() {
        SentRequest sent =
                new SentRequest(trace, instance, generated.requestClass(), generated.key(), generated.work(), deadline);
        simulation.sentRequests().put(id, sent);
        simulation.oracle().requestSent(trace);
        simulation.requestSent();
        simulation.clock().scheduleAt(deadline, this::deadlinePassed);
        simulation
                .clock()
                .scheduleAt(
                        deadline + RETENTION_NANOS,
                        () -> simulation.sentRequests().remove(id));
        connect(clients.drawsNewConnection());
    }

    private void connect(boolean newConnection) {
        Channel idle = newConnection ? null : clients.takeIdleConnection(instance);
        if (idle != null) {
            write(idle);
            return;
        }
        clients.connect(instance).addListener((ChannelFuture done) -> {
            if (finished) {
                done.channel().close();
            } else if (done.isSuccess()) {
                write(done.channel());
            } else {
                // The connection is refused, so nothing has run.
                simulation.oracle().excuse(trace);
                end(Answer.REFUSED, 0);
            }
        });
    }

    private void write(Channel connection) {
        channel = connection;
        connection.pipeline().get(ClientHandler.class).setCurrent(this);
        connection.writeAndFlush(httpRequest());
    }

    private DefaultFullHttpRequest httpRequest() {
        boolean get = requestClass.repeatability() == Repeatability.FREE;
        ByteBuf body = get ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                get ? HttpMethod.GET : HttpMethod.POST,
                "/api/" + Long.toHexString(generated.key()),
                body);
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", requestClass.name())
                .set("Req-Deadline-Ms", Math.max(1, timeLeftNanos / NANOS_PER_MILLI));
        if (requestClass.repeatability() == Repeatability.KEYED) {
            request.headers().set("Idempotency-Key", id);
        }
        if (!get) {
            HttpUtil.setContentLength(request, BODY.length);
        }
        return request;
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        finished = true;
        if (generated.leavesEarly()) {
            simulation.oracle().clientDisconnected(trace, simulation.elapsed());
        }
        if (channel != null) {
            channel.close();
        }
        simulation.statistics().requestUnanswered(generated.requestClass(), simulation.sinceStart(firstSentAt));
        simulation.oracle().deadlinePassed(trace, simulation.elapsed());
    }

    /**
     * The connection has closed without a response. On a reused connection the close may have crossed the request,
     * which is then sent once more; if the instance was killed, the request has failed.
     */
    void connectionClosed(boolean usedBefore) {
        if (finished) {
            return;
        }
        if (usedBefore && !reconnected) {
            reconnected = true;
            connect(true);
        } else if (simulation.wasKilled(instance, trace)) {
            simulation.oracle().excuse(trace);
            end(Answer.FAILED, 0);
        }
    }

    /** The response has arrived. */
    void responseReceived(FullHttpResponse response) {
        Answer answer = answer(response.status());
        if (answer == Answer.SERVED
                && !response.content().toString(StandardCharsets.US_ASCII).equals(RealClients.bodyOf(id))) {
            simulation.oracle().responseForged(trace, simulation.elapsed());
        }
        simulation.oracle().responseReceived(trace, answer, simulation.elapsed());
        simulation.updateDigest(trace, answer);
        end(answer, retryAfterNanos(response));
    }

    private static Answer answer(HttpResponseStatus status) {
        if (status.code() == HttpResponseStatus.OK.code()) {
            return Answer.SERVED;
        }
        boolean rejected = status.code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        return rejected ? Answer.REFUSED : Answer.FAILED;
    }

    private static long retryAfterNanos(FullHttpResponse response) {
        String seconds = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
        try {
            return (long) (Double.parseDouble(seconds) * NANOS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void end(Answer answer, long retryAfterNanos) {
        finished = true;
        boolean harmless = answer == Answer.REFUSED || requestClass.retryIsHarmless();
        long sentAt = simulation.sinceStart(firstSentAt);
        if (answer == Answer.SERVED) {
            long latency = simulation.clock().now() - firstSentAt;
            simulation.statistics().requestServed(generated.requestClass(), sentAt, latency);
        } else if (generated.retries() && !isRetry && harmless) {
            Scenario.Clients settings = simulation.scenario().clients();
            retryAfter(settings.backoffNanos(generated.honoursRetryAfter(), retryAfterNanos));
        } else if (answer == Answer.REFUSED) {
            simulation.statistics().requestRejected(generated.requestClass(), sentAt);
        } else {
            simulation.statistics().requestFailed(generated.requestClass(), sentAt);
        }
    }

    private void retryAfter(long backoffNanos) {
        simulation.clock().scheduleAt(simulation.clock().now() + backoffNanos, () -> {
            simulation.statistics().retrySent();
            new ClientRequest(simulation, clients, instance, generated, firstSentAt, true).send();
        });
    }
}

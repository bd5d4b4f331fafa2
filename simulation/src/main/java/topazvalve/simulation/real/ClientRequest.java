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
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.RequestClassSpec.Repeatability;
import topazvalve.simulation.statistics.ClientTry;

/** A request or retry of a client over HTTP, from sending it to its outcome or its retry. */
final class ClientRequest {
    private static final int BODY_BYTES = 200;
    private static final byte[] BODY = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How long after the deadline of a client that stays its answer may come, by the protocol page. */
    private static final long LATE_ANSWER_NANOS = 500_000_000;
    /** How long after its deadline a client that stays closes its connection. */
    private static final long STAY_NANOS = 2_000_000_000L;
    /** How long after its deadline a request is kept, so that late attempts of it are recognised. */
    private static final long RETENTION_NANOS = 10_000_000_000L;

    private final RunState run;
    private final RealClients clients;
    private final int instance;
    private final GeneratedRequest generated;
    private final long firstSentAt;
    private final boolean isRetry;
    private final RequestClassSpec requestClass;
    private final String id;
    private final Trace trace;
    private final long deadline;
    private final long remainingNanos;
    private Channel channel;
    private boolean reconnected;
    private boolean finished;

    /**
     * Creates a request that hasn't been sent yet.
     *
     * @param firstSentAt the planned send time of the first request, in nanoseconds of the clock
     */
    ClientRequest(
            RunState run,
            RealClients clients,
            int instance,
            GeneratedRequest generated,
            long firstSentAt,
            boolean isRetry) {
        this.run = run;
        this.clients = clients;
        this.instance = instance;
        this.generated = generated;
        this.firstSentAt = firstSentAt;
        this.isRetry = isRetry;
        this.requestClass = run.scenario().classes().get(generated.requestClass());
        long number = clients.nextId();
        this.id = SentRequests.id(instance, number);
        long now = run.clock().now();
        // The time-out of the first request runs from its planned send time, that of a retry from now.
        this.deadline = (isRetry ? now : firstSentAt) + generated.clientTimeoutNanos();
        this.remainingNanos = deadline - now;
        this.trace = new Trace(number, instance, requestClass, run.sinceStart(now), run.sinceStart(deadline));
    }

    /** Sends the request, unless its time is over already because the clients themselves were held up. */
    void send() {
        if (remainingNanos <= 0) {
            finished = true;
            run.statistics().requestUnanswered(generated.requestClass(), run.sinceStart(firstSentAt));
            return;
        }
        SentRequest sent =
                new SentRequest(trace, instance, generated.requestClass(), generated.key(), generated.work(), deadline);
        run.sentRequests().put(id, sent);
        run.oracle().requestSent(trace);
        run.clock().scheduleAt(deadline, this::deadlinePassed);
        run.clock()
                .scheduleAt(deadline + RETENTION_NANOS, () -> run.sentRequests().remove(id));
        connect(clients.drawsNewConnection());
    }

    private void connect(boolean newConnection) {
        Channel idle = newConnection ? null : clients.takeIdleConnection(instance);
        if (idle != null) {
            write(idle);
            return;
        }
        if (run.refusesNewConnections(instance)) {
            run.oracle().waiveResponse(trace);
            finish(Answer.REJECTED, 0);
            return;
        }
        clients.connect(instance).addListener((ChannelFuture done) -> {
            if (finished) {
                done.channel().close();
            } else if (done.isSuccess()) {
                write(done.channel());
            } else {
                // The connection was refused, so no server has received the request.
                run.oracle().waiveResponse(trace);
                finish(Answer.REJECTED, 0);
            }
        });
    }

    private void write(Channel connection) {
        channel = connection;
        connection.pipeline().get(ClientHandler.class).setCurrent(this);
        connection.writeAndFlush(httpRequest());
    }

    private DefaultFullHttpRequest httpRequest() {
        boolean isGet = requestClass.repeatability() == Repeatability.FREE;
        ByteBuf body = isGet ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                isGet ? HttpMethod.GET : HttpMethod.POST,
                "/api/" + Long.toHexString(generated.key()),
                body);
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", id)
                .set("Req-Kind", requestClass.name())
                .set("Req-Deadline-Ms", Math.max(1, remainingNanos / NANOS_PER_MILLI));
        if (requestClass.repeatability() == Repeatability.KEYED) {
            request.headers().set("Idempotency-Key", id);
        }
        if (!isGet) {
            HttpUtil.setContentLength(request, BODY.length);
        }
        return request;
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        finished = true;
        if (generated.disconnectsEarly()) {
            run.oracle().clientDisconnected(trace, run.elapsed());
        }
        if (generated.staysAfterDeadline()) {
            run.clock().scheduleAt(deadline + STAY_NANOS, this::close);
            run.clock().scheduleAt(deadline + LATE_ANSWER_NANOS, this::checkAnswered);
        } else {
            close();
            checkAnswered();
        }
        run.statistics().requestUnanswered(generated.requestClass(), run.sinceStart(firstSentAt));
    }

    private void checkAnswered() {
        excuseDelayByStall();
        run.oracle().deadlinePassed(trace, run.elapsed());
    }

    /** No sidecar can answer while it is stopped; what it does afterwards is judged. */
    private void excuseDelayByStall() {
        if (run.wasStalled(instance, trace)) {
            run.oracle().excuseDelay(trace);
        }
    }

    private void close() {
        if (channel != null) {
            channel.close();
        }
        run.oracle().clientClosed(trace, run.elapsed());
    }

    /**
     * Handles a connection that closed before the response. On a reused connection the request may have crossed the
     * close, so it is sent once more; if the instance was killed, the request has failed.
     */
    void connectionClosed(boolean usedBefore) {
        if (finished) {
            return;
        }
        if (usedBefore && !reconnected) {
            reconnected = true;
            connect(true);
        } else if (run.wasKilled(instance, trace)) {
            run.oracle().waiveResponse(trace);
            finish(Answer.FAILED, 0);
        }
    }

    /** Checks and records the response. */
    void responseReceived(FullHttpResponse response) {
        Answer answer = toAnswer(response.status());
        if (answer == Answer.SERVED
                && !RealClients.isResponseTo(id, response.content().toString(StandardCharsets.US_ASCII))) {
            run.oracle().responseForged(trace, run.elapsed());
        }
        excuseDelayByStall();
        run.oracle().responseReceived(trace, answer, run.elapsed());
        run.recorder().digest().add(trace.id(), answer);
        if (!finished) {
            finish(answer, retryAfterNanos(response));
        }
    }

    private static Answer toAnswer(HttpResponseStatus status) {
        if (status.code() == HttpResponseStatus.OK.code()) {
            return Answer.SERVED;
        }
        boolean rejected = status.code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        return rejected ? Answer.REJECTED : Answer.FAILED;
    }

    private static long retryAfterNanos(FullHttpResponse response) {
        String seconds = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
        try {
            return (long) (Double.parseDouble(seconds) * NANOS_PER_SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void finish(Answer answer, long retryAfterNanos) {
        finished = true;
        if (answer == Answer.SERVED) {
            long latency = run.clock().now() - firstSentAt;
            run.statistics().requestServed(generated.requestClass(), run.sinceStart(firstSentAt), latency);
        } else {
            new ClientTry(generated, firstSentAt, isRetry).endUnserved(run, answer, retryAfterNanos, this::retry);
        }
    }

    private void retry() {
        new ClientRequest(run, clients, instance, generated, firstSentAt, true).send();
    }
}

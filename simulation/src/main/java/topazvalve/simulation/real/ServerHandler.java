package topazvalve.simulation.real;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.ServerMode;
import topazvalve.simulation.real.SentRequests.SentRequest;

/** One connection to an order server. Passes requests to the model after the simulated network delay. */
final class ServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String REQUEST_ID_HEADER = "Req-Id";
    private static final String DEADLINE_HEADER = "Req-Deadline-Ms";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final String DECLINED_HEADER = "Srv-Declined";
    private static final String LIVENESS_PATH = "/alive";
    private static final String LOAD_PATH = "/metrics/load";

    private final RunState run;
    private final OrderServer server;
    private HttpAttempt current;

    ServerHandler(RunState run, OrderServer server) {
        this.run = run;
        this.server = server;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String path = request.uri();
        if (path.equals(LIVENESS_PATH) || path.equals(LOAD_PATH)) {
            run.statistics().healthCheckSent();
            server.offer(new HttpHealthCheck(context.channel()), true);
            return;
        }
        String id = request.headers().get(REQUEST_ID_HEADER);
        if (ClientDepartures.isFromHere(id)) {
            respondToDepartedClient(context.channel(), id);
            return;
        }
        SentRequest sent = run.sentRequests().get(id);
        if (sent == null) {
            HttpResponseStatus status = id == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST;
            respond(context.channel(), status, "", false);
            return;
        }
        run.oracle().bytesArrived(sent.trace(), toldNanos(request), run.earliestArrival());
        HttpAttempt attempt = new HttpAttempt(run, server, context.channel(), id, sent);
        current = attempt;
        long delay = run.nextDelayNanos(sent.instance(), server);
        run.clock().scheduleAt(run.clock().now() + delay, () -> deliver(attempt, sent));
    }

    private void respondToDepartedClient(Channel channel, String id) {
        ClientDepartures.Departure departure = run.departures().departureOf(id);
        if (departure != null) {
            long closedAt = run.sinceStartOfNanoTime(departure.closedNanos());
            run.oracle().departedClientServed(departure.instance(), id, closedAt, run.earliestArrival());
        }
        respond(channel, HttpResponseStatus.OK, RealClients.responseBody(id), false);
    }

    private static long toldNanos(FullHttpRequest request) {
        return Long.parseLong(request.headers().get(DEADLINE_HEADER, "0")) * NANOS_PER_MILLI;
    }

    private void deliver(HttpAttempt attempt, SentRequest sent) {
        ServerMode mode = server.mode();
        if (mode == ServerMode.VANISHED || mode == ServerMode.DOWN) {
            return;
        }
        server.offer(attempt, run.notifiedStarts().knowsStart(sent.instance(), server));
        run.recorder().attemptReceived(sent.trace(), server, !attempt.wasRejected(), run.elapsed());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean idle = event instanceof IdleStateEvent && (current == null || current.hasEnded());
        if (idle && server.mode() != ServerMode.VANISHED) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (current != null && !current.hasEnded()) {
            server.cancel(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /**
     * Writes a response.
     *
     * @param declined whether the response says that the server rejected the request without running it
     */
    static void respond(Channel channel, HttpResponseStatus status, String body, boolean declined) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (declined) {
            response.headers().set(DECLINED_HEADER, "1");
        }
        channel.writeAndFlush(response);
    }
}

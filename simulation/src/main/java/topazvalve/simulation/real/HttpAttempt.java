package topazvalve.simulation.real;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import topazvalve.simulation.model.ExtraData;
import topazvalve.simulation.model.ExtraDataFault;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.ServerAttempt;
import topazvalve.simulation.model.ServerMode;
import topazvalve.simulation.real.SentRequests.SentRequest;

/** An attempt that an order server has received over HTTP, with the connection for its response. */
final class HttpAttempt extends ServerAttempt {
    private static final String MALFORMED_RESPONSE = "HTTP/1.1 2OO ?\r\n\u0000\u0001noise";
    private static final String TRUNCATED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\ndone:";
    private static final String SECOND_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore";
    private static final String REJECTION =
            "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    /** A malformed response, a truncated one, and a second response after a valid one. */
    private static final int CORRUPTION_KINDS = 3;

    private final RunState run;
    private final OrderServer server;
    private final Channel channel;
    private final String id;
    private final SentRequest sent;
    private boolean rejected;
    private boolean hasRun;
    private boolean ended;

    HttpAttempt(RunState run, OrderServer server, Channel channel, String id, SentRequest sent) {
        super(run.attemptWork(sent), sent.requestClass(), sent.key(), sent.deadline());
        this.run = run;
        this.server = server;
        this.channel = channel;
        this.id = id;
        this.sent = sent;
    }

    /** Returns whether the server rejected the attempt without running it. */
    boolean wasRejected() {
        return rejected;
    }

    /** Returns whether the attempt has ended at the server. */
    boolean hasEnded() {
        return ended;
    }

    /** Writes a response after the simulated network delay, unless the machine is unreachable by then. */
    private void writeAfterDelay(Runnable write) {
        ended = true;
        long delay = run.nextDelayNanos(sent.instance(), server);
        run.clock().scheduleAt(run.clock().now() + delay, () -> {
            if (server.mode() != ServerMode.VANISHED) {
                write.run();
            }
        });
    }

    @Override
    protected void started() {
        hasRun = true;
    }

    @Override
    protected void completed(boolean success, boolean corrupted) {
        if (!success) {
            writeAfterDelay(() -> ServerHandler.respond(channel, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false));
        } else if (corrupted) {
            sendCorrupted();
        } else {
            run.oracle().responseSent(sent.trace());
            writeAfterDelay(this::writeResponseAndExtraData);
        }
    }

    private void writeResponse() {
        ServerHandler.respond(channel, HttpResponseStatus.OK, RealClients.responseBody(id), false);
    }

    private void writeResponseAndExtraData() {
        if (server.slowBodies().draws()) {
            writeSlowBody();
            return;
        }
        writeResponse();
        ExtraDataFault fault = server.extraData();
        if (fault.draws()) {
            String extra = textOf(fault.drawForm());
            run.clock().scheduleAt(run.clock().now() + fault.drawDelayNanos(), () -> writeRaw(extra));
        }
    }

    /** Writes the head of a long response, and the body later. */
    private void writeSlowBody() {
        String body = RealClients.longResponseBody(id);
        long[] closedAt = {Long.MAX_VALUE};
        channel.closeFuture().addListener(closed -> closedAt[0] = run.elapsed());
        writeRaw("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n");
        run.clock().scheduleAt(run.clock().now() + server.slowBodies().drawDelayNanos(), () -> {
            if (channel.isActive()) {
                writeRaw(body);
            } else if (!ServerStandIn.hasReset(channel) && !run.excusesClose(sent.instance(), sent.trace())) {
                run.oracle().responseCutOff(sent.trace(), closedAt[0]);
            }
        });
    }

    /** Writes past the HTTP encoder, whose state an unrequested response would break. */
    private void writeRaw(String text) {
        ChannelHandlerContext encoder = channel.pipeline().context(HttpServerCodec.class);
        if (encoder != null) {
            encoder.writeAndFlush(bytes(text));
        }
    }

    private String textOf(ExtraData form) {
        String body = RealClients.responseBody(id);
        return switch (form) {
            case COPY -> "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
            case OTHER_RESPONSE -> SECOND_RESPONSE;
            case REJECTION -> REJECTION;
            case HALF_HEAD -> "HTTP/1.1 200 OK\r\ncontent-le";
            case NOISE -> "\u0000\u0001noise";
        };
    }

    /** Responds with a malformed, a truncated or a second response, depending on the number of the request. */
    private void sendCorrupted() {
        int kind = (int) (sent.trace().id() % CORRUPTION_KINDS);
        switch (kind) {
            case 0 -> writeAfterDelay(() -> channel.writeAndFlush(bytes(MALFORMED_RESPONSE)));
            case 1 ->
                writeAfterDelay(
                        () -> channel.writeAndFlush(bytes(TRUNCATED_RESPONSE)).addListener(done -> channel.close()));
            default -> {
                run.oracle().responseSent(sent.trace());
                writeAfterDelay(() -> {
                    writeResponse();
                    channel.writeAndFlush(bytes(SECOND_RESPONSE));
                });
            }
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Override
    protected void rejected() {
        rejected = true;
        writeAfterDelay(() -> ServerHandler.respond(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true));
    }

    @Override
    protected void reset() {
        ended = true;
        ServerStandIn.resetConnection(channel);
    }

    @Override
    protected void discarded() {
        ended = true;
        if (!hasRun) {
            run.oracle().attemptNeverRan(sent.trace());
        }
    }
}

package topazvalve.simulation.real;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponseStatus;
import topazvalve.simulation.model.ServerAttempt;

/** A health check that an order server has received over HTTP. */
final class HttpHealthCheck extends ServerAttempt {
    private final Channel channel;

    HttpHealthCheck(Channel channel) {
        super(HEALTH_CHECK_WORK, 0, 0, Long.MAX_VALUE);
        this.channel = channel;
    }

    @Override
    protected void started() {}

    @Override
    protected void completed(boolean success, boolean corrupted) {
        ServerHandler.respond(channel, HttpResponseStatus.OK, "", false);
    }

    @Override
    protected void rejected() {
        ServerHandler.respond(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
    }

    @Override
    protected void reset() {
        ServerStandIn.resetConnection(channel);
    }

    @Override
    protected void discarded() {}
}

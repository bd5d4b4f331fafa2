package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** What an upstream answered; of a large answer, {@code body} is its first bytes. */
public record UpstreamResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body) {}

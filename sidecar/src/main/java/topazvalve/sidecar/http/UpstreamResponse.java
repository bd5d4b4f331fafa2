package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The response of a server.
 *
 * @param headers end-to-end headers only
 * @param body the complete body, or the bytes received before streaming began
 */
public record UpstreamResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body) {}

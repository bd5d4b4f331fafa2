package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A server's response.
 *
 * @param headers end-to-end headers only
 * @param body the complete body; of a streamed response, the bytes that came before streaming began
 */
public record UpstreamResponse(HttpResponseStatus status, HttpHeaders headers, byte[] body) {}

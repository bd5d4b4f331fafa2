package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The request to forward, without its body.
 *
 * @param headers as the client sent them, hop-by-hop headers included
 */
public record UpstreamRequest(HttpMethod method, String uri, HttpHeaders headers) {}

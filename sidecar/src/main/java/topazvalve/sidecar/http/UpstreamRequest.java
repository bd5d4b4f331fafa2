package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The request to forward, without its body.
 *
 * @param headers the headers that the client sent, including hop-by-hop headers
 */
public record UpstreamRequest(HttpMethod method, String uri, HttpHeaders headers) {
    /** Returns the client's id of the request, by which the trace names it; "null" if it has none. */
    @Override
    public String toString() {
        return String.valueOf(headers.get(Headers.REQUEST_ID));
    }
}

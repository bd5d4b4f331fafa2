package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** What a client asked, in HTTP's terms: for the upstreams' side alone. */
public record UpstreamRequest(HttpMethod method, String uri, HttpHeaders headers) {}

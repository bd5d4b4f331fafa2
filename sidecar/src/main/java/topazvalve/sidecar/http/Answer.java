package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaders;

/** What an upstream answered; of a large answer, {@code body} is its first bytes. */
public record Answer(HttpHeaders headers, byte[] body) { }

package topazvalve.sidecar.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Map;

/** Rules for the headers that the sidecar forwards. */
public final class Headers {
    /** The client's id of a request. */
    public static final String REQUEST_ID = "Req-Id";

    /** The time that a request may take, in milliseconds; sent by the client and forwarded with the remaining time. */
    public static final String DEADLINE_MILLIS = "Req-Deadline-Ms";

    /** Headers that apply to a single connection, and headers that are meant for the sidecar alone. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "Proxy-Connection",
            "Keep-Alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            "Srv-Load",
            "Srv-Declined");

    private Headers() {}

    /**
     * Returns whether a message with {@code Transfer-Encoding} is framed by chunks alone: HTTP/1.1, {@code chunked} as
     * the only coding, and no {@code Content-Length}. Any other combination leaves the end of the body ambiguous.
     */
    public static boolean isChunkedOnly(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && message.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /**
     * Copies the end-to-end headers: all except hop-by-hop headers and those that {@code Connection} names.
     *
     * @throws IllegalArgumentException if {@code to} validates its headers and a name or value is malformed
     */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!isHopByHop(name)) {
                to.add(name, header.getValue());
            }
        }
        removeNamedByConnection(from, to);
    }

    private static boolean isHopByHop(String name) {
        for (CharSequence hopByHop : HOP_BY_HOP) {
            if (AsciiString.contentEqualsIgnoreCase(hopByHop, name)) {
                return true;
            }
        }
        return false;
    }

    private static void removeNamedByConnection(HttpHeaders from, HttpHeaders to) {
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String named : value.split(",")) {
                if (!named.isBlank()) {
                    to.remove(named.trim());
                }
            }
        }
    }
}

package topazvalve.relay;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import topazvalve.discovery.state.VersionVector;

/**
 * What a caller asks for.
 *
 * @param watch whether it stays
 * @param from the version it has, as readers count that know of no sources; 0 for nothing
 * @param versions how far it has come at each source; empty where it does not say
 */
record DiscoveryRequest(boolean watch, long from, VersionVector versions) {
    static DiscoveryRequest of(QueryStringDecoder uri) {
        String from = one(uri, "from", "0");
        if (!from.matches("[0-9]{1,18}")) {
            throw new IllegalArgumentException("from is not a version");
        }
        return new DiscoveryRequest(
                one(uri, "watch", "0").equals("1"),
                Long.parseLong(from),
                VersionVector.parse(one(uri, "versions", "")));
    }

    private static String one(QueryStringDecoder uri, String key, String absent) {
        List<String> values = uri.parameters().getOrDefault(key, List.of(absent));
        if (values.size() != 1) {
            throw new IllegalArgumentException(key + " is given twice");
        }
        return values.get(0);
    }
}

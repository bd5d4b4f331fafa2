package topazvalve.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.regex.Pattern;
import topazvalve.discovery.state.VersionVector;

/**
 * A request for the endpoint list.
 *
 * @param watch whether the connection stays open and receives changes
 * @param from the revision of the subscriber's endpoint list, sent by subscribers that do not keep a version of each
 *     source; 0 for none
 * @param versions the subscriber's version of each source; empty if not given
 */
record DiscoveryRequest(boolean watch, long from, VersionVector versions) {
    private static final Pattern REVISION = Pattern.compile("[0-9]{1,18}");

    /** Parses a request's query; throws {@link InvalidRequestException} with status 400 if it is invalid. */
    static DiscoveryRequest parse(QueryStringDecoder uri) throws InvalidRequestException {
        try {
            String from = parameter(uri, "from", "0");
            if (!REVISION.matcher(from).matches()) {
                throw badRequest("from is not a version", null);
            }
            boolean watch = parameter(uri, "watch", "0").equals("1");
            VersionVector versions = VersionVector.parse(parameter(uri, "versions", ""));
            return new DiscoveryRequest(watch, Long.parseLong(from), versions);
        } catch (IllegalArgumentException e) {
            // An invalid escape sequence in the query, or an invalid version.
            throw badRequest(e.getMessage(), e);
        }
    }

    private static String parameter(QueryStringDecoder uri, String key, String defaultValue)
            throws InvalidRequestException {
        List<String> values = uri.parameters().getOrDefault(key, List.of(defaultValue));
        if (values.size() != 1) {
            throw badRequest(key + " is given twice", null);
        }
        return values.get(0);
    }

    private static InvalidRequestException badRequest(String message, Throwable cause) {
        return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, message, cause);
    }
}

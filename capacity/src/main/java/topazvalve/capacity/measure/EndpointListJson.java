package topazvalve.capacity.measure;

import java.util.Locale;

/**
 * Endpoint lists and changes in the JSON format of discovery, one line each. Nothing listens at the endpoints'
 * addresses, and nothing is sent there. A list has fixed servers and extra servers; changes add and remove the extra
 * servers.
 */
final class EndpointListJson {
    /** Approximate length of one endpoint, used to size buffers. */
    private static final int ENDPOINT_LENGTH = 150;

    private static final int HOSTS_PER_SUBNET = 250;
    private static final int SERVERS_PER_GROUP = 8;
    private static final String FIXED_PREFIX = "s-";
    private static final String EXTRA_PREFIX = "x-";
    private static final String SERVING = "SERVING";
    private static final String DELETED = "DELETED";

    private EndpointListJson() {}

    /** Returns a complete list, with or without the first extra server. */
    static String fullSnapshot(long revision, int servers, boolean withExtraServer) {
        StringBuilder json = begin(revision, true, servers);
        appendEndpoints(json, FIXED_PREFIX, servers, SERVING);
        if (withExtraServer) {
            json.append(',').append(endpoint(EXTRA_PREFIX, 0, SERVING));
        }
        return json.append("]}\n").toString();
    }

    /** Returns a change that adds or removes a number of extra servers. */
    static String delta(long revision, int extraServers, boolean added) {
        StringBuilder json = begin(revision, false, extraServers);
        appendEndpoints(json, EXTRA_PREFIX, extraServers, added ? SERVING : DELETED);
        return json.append("]}\n").toString();
    }

    /** Returns the length in bytes of a change when it is sent as an HTTP chunk. */
    static int deltaChunkLength(int extraServers) {
        int lineLength = delta(1_000_000, extraServers, true).length();
        int lineEnds = 4;
        return lineLength + Integer.toHexString(lineLength).length() + lineEnds;
    }

    private static StringBuilder begin(long revision, boolean complete, int endpoints) {
        return new StringBuilder(endpoints * ENDPOINT_LENGTH)
                .append("{\"rev\":")
                .append(revision)
                .append(",\"all\":")
                .append(complete)
                .append(",\"targets\":[");
    }

    private static void appendEndpoints(StringBuilder json, String prefix, int count, String state) {
        for (int i = 0; i < count; i++) {
            json.append(i == 0 ? "" : ",").append(endpoint(prefix, i, state));
        }
    }

    private static String endpoint(String prefix, int number, String state) {
        return String.format(
                Locale.ROOT,
                "{\"uid\":\"%s%08x\",\"endpoint\":\"127.1.%d.%d:9\",\"az\":\"a\","
                        + "\"model\":\"m\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}",
                prefix,
                number,
                number / HOSTS_PER_SUBNET,
                1 + number % HOSTS_PER_SUBNET,
                number / SERVERS_PER_GROUP,
                state);
    }
}

package topazvalve.discovery.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.net.Addresses;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.EndpointStatus;

/**
 * A full snapshot of the endpoint list or a delta to it, as received from discovery or a relay.
 *
 * @param revision the sender's version of the list after the update
 * @param fullSnapshot whether {@code endpoints} is the full list; otherwise it contains only the changed endpoints
 * @param endpoints the endpoints, without those that could not be parsed
 * @param versions the version of each source; empty if the sender reports only {@code revision}
 */
public record EndpointUpdate(long revision, boolean fullSnapshot, List<Endpoint> endpoints, VersionVector versions) {
    /** The state before the first update: no endpoints, revision 0. */
    public static final EndpointUpdate NONE = new EndpointUpdate(0, true, List.of());

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    private static final int DEFAULT_CAPACITY = 1;

    /** Creates an update from a sender that reports only a revision. */
    public EndpointUpdate(long revision, boolean fullSnapshot, List<Endpoint> endpoints) {
        this(revision, fullSnapshot, endpoints, VersionVector.NONE);
    }

    /** Returns whether a JSON object has the mandatory members of an update. */
    static boolean isUpdate(JsonNode json) {
        return json.path("rev").isLong() && json.path("targets").isArray();
    }

    /**
     * Parses an update. Endpoints that can't be parsed are logged and left out; other missing members get defaults.
     *
     * @throws topazvalve.discovery.state.InvalidVersionException if {@code versions} can't be parsed
     */
    public static EndpointUpdate fromJson(JsonNode json) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonNode target : json.path("targets")) {
            Endpoint endpoint = parseEndpoint(target);
            if (endpoint != null) {
                endpoints.add(endpoint);
            }
        }
        return new EndpointUpdate(
                json.path("rev").asLong(),
                json.path("all").asBoolean(),
                endpoints,
                VersionVector.parse(json.path("versions").asText("")));
    }

    /** Returns the endpoint, or null if its name, status or address is missing or invalid. */
    private static Endpoint parseEndpoint(JsonNode json) {
        String uid = json.path("uid").asText("");
        EndpointStatus status = parseStatus(json.path("state").asText());
        InetSocketAddress address = Addresses.parse(json.path("endpoint").asText(""));
        boolean addressMissing = address == null && status != EndpointStatus.REMOVED;
        if (uid.isEmpty() || status == null || addressMissing) {
            LOG.warn("ignoring invalid endpoint: {}", json);
            return null;
        }
        return new Endpoint(
                uid,
                address,
                json.path("az").asText(""),
                json.path("model").asText(""),
                (int) json.path("pod_group").asLong(),
                status,
                (float) json.path("capacity_hint").asDouble(DEFAULT_CAPACITY),
                json.path("boot_ms").asLong());
    }

    /** Returns the status, or null if the name is unknown. */
    private static EndpointStatus parseStatus(String state) {
        return switch (state) {
            case "SERVING" -> EndpointStatus.READY;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> null;
        };
    }
}

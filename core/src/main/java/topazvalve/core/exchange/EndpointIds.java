package topazvalve.core.exchange;

import java.util.HashMap;
import java.util.Map;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.SettingsReader;

/**
 * Assigns the numbers that identify endpoints, zones and machine kinds to the policy. A number is assigned once and
 * never reused.
 */
final class EndpointIds {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FIRST_ENDPOINT_ID = 1;

    private final Map<String, Long> endpointIds = new HashMap<>();
    private final Map<String, Integer> zoneNumbers = new HashMap<>();
    private final Map<String, Integer> machineKindNumbers = new HashMap<>();

    /** Assigns numbers to the zones and machine kinds listed in the settings, in their order. */
    void registerNames(SettingsReader settings) {
        settings.list("zones").forEach(zone -> numberOf(zoneNumbers, zone));
        settings.list("kinds").forEach(kind -> numberOf(machineKindNumbers, kind));
    }

    private static int numberOf(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, unknown -> numbers.size());
    }

    /** Returns the ids of all endpoints that were ever listed. */
    Iterable<Long> allEndpointIds() {
        return endpointIds.values();
    }

    /** Converts an endpoint to the policy's representation; a new endpoint gets the next id. */
    EndpointInfo toEndpointInfo(Endpoint endpoint) {
        long id = endpointIds.computeIfAbsent(endpoint.uid(), unknown -> endpointIds.size() + FIRST_ENDPOINT_ID);
        return new EndpointInfo(
                id,
                numberOf(zoneNumbers, endpoint.zone()),
                numberOf(machineKindNumbers, endpoint.machineKind()),
                endpoint.cell(),
                endpoint.status(),
                endpoint.weight(),
                endpoint.startedAtMillis() * NANOS_PER_MILLI);
    }
}

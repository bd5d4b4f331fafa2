package topazvalve.core.exchange;

import java.util.HashMap;
import java.util.Map;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.SettingsReader;

/** The numbers under which the decision module knows servers, zones and kinds; each is given once. */
final class EndpointIds {
    private final Map<String, Long> servers = new HashMap<>();
    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();

    /** Takes over the names that settings number. */
    void take(SettingsReader options) {
        options.list("zones").forEach(zone -> number(zones, zone));
        options.list("kinds").forEach(kind -> number(kinds, kind));
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, added -> numbers.size());
    }

    /** Every server ever listed. */
    Iterable<Long> all() {
        return servers.values();
    }

    /** A server as the module knows it. */
    EndpointInfo upstream(Endpoint target) {
        long id = servers.computeIfAbsent(target.uid(), uid -> servers.size() + 1L);
        return new EndpointInfo(
                id,
                number(zones, target.zone()),
                number(kinds, target.machineKind()),
                target.cell(),
                target.status(),
                target.weight(),
                target.startedAtMillis() * 1_000_000);
    }
}

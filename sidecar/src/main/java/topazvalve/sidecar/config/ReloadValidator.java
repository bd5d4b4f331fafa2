package topazvalve.sidecar.config;

import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.json.JsonNode;

/** Checks whether a running sidecar can change from one configuration to another. */
final class ReloadValidator {
    private static final Logger LOG = LoggerFactory.getLogger("sidecar");
    /** Settings that the policy, or state built on them, can't change at run time. */
    private static final List<String> RESTART_ONLY_SETTINGS = List.of("discovery", "parties");

    private ReloadValidator() {}

    /**
     * Requires that every key in force is there again, since a default in its place would silently change the
     * rules, and that settings fixed at the start are the same.
     */
    static void requireReloadable(Config inForce, Config next) {
        requireSameKeys("", inForce.root(), next.root());
        for (String key : RESTART_ONLY_SETTINGS) {
            if (!setting(next, key).equals(setting(inForce, key))) {
                throw new InvalidConfigException("changes only with a restart", "settings." + key);
            }
        }
        if (!next.listen().equals(inForce.listen()) || !Objects.equals(next.admin(), inForce.admin())) {
            LOG.warn("listen and admin stay as they are until a restart");
        }
    }

    private static JsonNode setting(Config config, String key) {
        return config.root().path("settings").path(key);
    }

    /** Compares objects only: the elements of arrays may come and go. */
    private static void requireSameKeys(String path, JsonNode inForce, JsonNode next) {
        for (String key : inForce.keys()) {
            if (!inForce.path(key).isNull()) {
                ConfigReader.requireKeys(next, path, List.of(key));
                requireSameKeys(path + key + ".", inForce.path(key), next.path(key));
            }
        }
    }
}

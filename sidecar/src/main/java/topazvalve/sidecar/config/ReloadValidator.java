package topazvalve.sidecar.config;

import java.util.List;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.json.JsonNode;

/** Checks whether a running sidecar can switch from one configuration to another. */
final class ReloadValidator {
    private static final Logger LOG = LoggerFactory.getLogger("sidecar");
    /** Settings that can't change at run time, because the policy or state built from them depends on them. */
    private static final List<String> RESTART_ONLY_SETTINGS = List.of("discovery", "parties");

    private ReloadValidator() {}

    /**
     * Requires that the next configuration has every key of the current one, since a default in place of a missing
     * key would change the rules silently, and that restart-only settings are unchanged.
     */
    static void requireReloadable(Config current, Config next) {
        requireSameKeys("", current.root(), next.root());
        for (String key : RESTART_ONLY_SETTINGS) {
            if (!setting(next, key).equals(setting(current, key))) {
                throw new InvalidConfigException("can change only with a restart", "settings." + key);
            }
        }
        if (!next.listen().equals(current.listen()) || !Objects.equals(next.admin(), current.admin())) {
            LOG.warn("listen and admin stay as they are until a restart");
        }
    }

    private static JsonNode setting(Config config, String key) {
        return config.root().path("settings").path(key);
    }

    /** Compares the keys of objects only: elements of arrays may be added and removed. */
    private static void requireSameKeys(String path, JsonNode current, JsonNode next) {
        for (String key : current.keys()) {
            if (!current.path(key).isNull()) {
                ConfigReader.requireKeys(next, path, List.of(key));
                requireSameKeys(path + key + ".", current.path(key), next.path(key));
            }
        }
    }
}

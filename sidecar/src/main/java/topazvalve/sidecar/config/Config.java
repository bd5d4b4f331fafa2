package topazvalve.sidecar.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;
import topazvalve.policy.SettingsReader;

/**
 * The validated configuration of one sidecar.
 *
 * @param name the name of the instance, used in log lines and sent to relays
 * @param listen the address that clients connect to
 * @param admin the address of the admin endpoint; null if there is none
 * @param discovery the address of discovery
 * @param seed the seed of the policy's random choices
 * @param limits the resources that the process may use
 * @param initialEndpoints the endpoint list to start with
 * @param settingsReader the policy's settings
 * @param root the whole file, for comparison with the next one on a reload
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        ResourceLimits limits,
        EndpointUpdate initialEndpoints,
        SettingsReader settingsReader,
        JsonNode root) {

    /**
     * Reads and validates a file. A file that is truncated, has trailing text or repeats a key is rejected.
     *
     * @throws InvalidConfigException if the file is invalid; the message names the key, or for a value out of range a
     *     short name of the setting instead of its path
     * @throws IOException if the file can't be read
     */
    public static Config read(Path file) throws IOException {
        try {
            return of(JsonReader.readStrictly(Files.readAllBytes(file)));
        } catch (JsonProcessingException e) {
            throw InvalidConfigException.notJson(e.getOriginalMessage(), e);
        }
    }

    /**
     * Validates a parsed configuration.
     *
     * @throws InvalidConfigException if it is invalid; the message names the key, or for a value out of range a
     *     short name of the setting instead of its path
     */
    public static Config of(JsonNode root) {
        return ConfigReader.read(root);
    }

    /**
     * Checks that a running sidecar can switch to this configuration.
     *
     * @param current the configuration that the sidecar runs with
     * @throws InvalidConfigException if a key of the current configuration is missing here, or if a setting differs
     *     that can change only with a restart
     */
    public void requireReloadableFrom(Config current) {
        ReloadValidator.requireReloadable(current, this);
    }
}

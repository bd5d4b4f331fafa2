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
 * @param name the instance's name in log lines and towards relays
 * @param listen where clients connect
 * @param admin where the admin endpoint listens; null if there is none
 * @param discovery where the endpoint list comes from
 * @param seed of the policy's random choices
 * @param limits what the process may use
 * @param initialEndpoints the endpoint list to start with
 * @param settingsReader the policy's settings
 * @param root the whole file, to compare with the next one at a reload
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
     * Reads and validates a file. One that is truncated, has further text behind its end or repeats a key is
     * rejected.
     *
     * @throws InvalidConfigException if the file has a mistake; the message names the key, or for a value out of
     *     bounds a short name of the setting instead of its path
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
     * Validates a configuration that is already parsed.
     *
     * @throws InvalidConfigException if it has a mistake; the message names the key, or for a value out of bounds a
     *     short name of the setting instead of its path
     */
    public static Config of(JsonNode root) {
        return ConfigReader.read(root);
    }

    /**
     * Checks that a running sidecar can change over to this configuration.
     *
     * @param inForce the configuration that the sidecar runs with
     * @throws InvalidConfigException if a key in force is missing here, or one differs that changes only with a
     *     restart
     */
    public void requireReloadableFrom(Config inForce) {
        ReloadValidator.requireReloadable(inForce, this);
    }
}

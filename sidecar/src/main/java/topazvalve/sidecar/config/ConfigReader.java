package topazvalve.sidecar.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.StringJoiner;
import topazvalve.core.net.Addresses;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.json.JsonNode;
import topazvalve.policy.SettingsReader;
import topazvalve.sidecar.admin.AdminServer;

/** Reads and validates the JSON of a configuration. */
final class ConfigReader {
    private static final String ADMIN_VARIABLE = "PROXY_ADMIN";
    private static final String DEFAULT_NAME = "sidecar";
    private static final int SEED_RADIX = 16;

    private static final List<String> REQUEST_CLASS_KEYS = List.of("name", "semantics");
    private static final List<String> KEYED_REQUEST_CLASS_KEYS = List.of("name", "semantics", "keyScope", "keyTtl");

    private ConfigReader() {}

    /** Returns the configuration, or throws {@link InvalidConfigException} naming the key at fault. */
    static Config read(JsonNode root) {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new InvalidConfigException("missing", "settings");
        }
        requireMandatorySettings(settings);
        SettingsReader settingsReader = toSettingsReader(settings);
        JsonNode limits = root.path("limits");
        int sockets = ResourceLimits.readSockets(limits);
        EndpointUpdate initialEndpoints =
                root.has("known") ? EndpointUpdate.fromJson(root.path("known")) : EndpointUpdate.NONE;
        InetSocketAddress listen = address(root, "listen");
        InetSocketAddress admin = adminAddress(root);
        int adminSockets = admin == null ? 0 : AdminServer.MAX_CONNECTIONS;
        return new Config(
                root.path("name").asText(DEFAULT_NAME),
                listen,
                admin,
                address(root, "discovery"),
                seed(root),
                new ResourceLimits(
                        sockets,
                        ResourceLimits.readMemoryMegabytes(limits),
                        adminSockets,
                        ResourceLimits.readCores(limits)),
                initialEndpoints,
                settingsReader,
                root);
    }

    /** Requires the settings without defaults: the bounds of attempts and times, and the keys of each class. */
    private static void requireMandatorySettings(JsonNode settings) {
        requirePositive(settings.path("caps"), "caps.", "tryLimit");
        int index = 0;
        for (JsonNode requestClass : settings.path("profiles")) {
            String path = "profiles." + index + ".";
            requirePositive(requestClass, path, "deadline");
            requirePositive(requestClass, path, "slo");
            boolean usesKey = "by_key".equals(requestClass.path("semantics").asText());
            requireKeys(requestClass, path, usesKey ? KEYED_REQUEST_CLASS_KEYS : REQUEST_CLASS_KEYS);
            index++;
        }
    }

    private static void requirePositive(JsonNode parent, String path, String key) {
        boolean positive = parent.path(key).asDouble(0) > 0;
        if (!positive) {
            throw new InvalidConfigException("not a positive number", path + key);
        }
    }

    /**
     * Requires that an object has all of the keys, with values other than null.
     *
     * @param path the path of the object; empty, or ending with a dot
     */
    static void requireKeys(JsonNode parent, String path, List<String> keys) {
        for (String key : keys) {
            if (!parent.hasNonNull(key)) {
                throw new InvalidConfigException("missing", path + key);
            }
        }
    }

    /** Converts the settings to the format of the policy and checks that the policy accepts them. */
    private static SettingsReader toSettingsReader(JsonNode settings) {
        StringBuilder lines = new StringBuilder();
        appendLines("", settings, lines);
        SettingsReader reader = new SettingsReader(lines.toString());
        reader.settings();
        List<String> names = reader.names("profiles");
        if (Set.copyOf(names).size() < names.size()) {
            throw new InvalidConfigException("duplicate name", "settings.profiles");
        }
        return reader;
    }

    /** Appends a JSON tree as the {@code path=value} lines of the simulator's protocol. */
    private static void appendLines(String path, JsonNode node, StringBuilder lines) {
        if (node.isObject()) {
            for (String key : node.keys()) {
                appendLines(path.isEmpty() ? key : path + "." + key, node.path(key), lines);
            }
        } else if (isArrayOfContainers(node)) {
            lines.append(path).append(".count=").append(node.size()).append('\n');
            int index = 0;
            for (JsonNode element : node) {
                appendLines(path + "." + index, element, lines);
                index++;
            }
        } else if (node.isArray()) {
            StringJoiner values = new StringJoiner(",");
            node.forEach(value -> values.add(value.asText()));
            lines.append(path).append('=').append(values).append('\n');
        } else if (!node.isNull()) {
            lines.append(path).append('=').append(node.asText()).append('\n');
        }
    }

    private static boolean isArrayOfContainers(JsonNode node) {
        return node.isArray() && node.size() > 0 && node.iterator().next().isContainer();
    }

    /** Returns the address of the admin endpoint from the file, else from the environment; null if there is none. */
    private static InetSocketAddress adminAddress(JsonNode root) {
        if (root.has("admin")) {
            return address(root, "admin");
        }
        String text = System.getenv().getOrDefault(ADMIN_VARIABLE, "");
        return text.isEmpty() ? null : parseAddress(text, ADMIN_VARIABLE);
    }

    private static InetSocketAddress address(JsonNode root, String key) {
        return parseAddress(root.path(key).asText(""), key);
    }

    private static InetSocketAddress parseAddress(String text, String key) {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            throw new InvalidConfigException("not an address and port", key);
        }
        return address;
    }

    private static long seed(JsonNode root) {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw InvalidConfigException.unparsable("not a hexadecimal number", "seed", e);
        }
    }
}

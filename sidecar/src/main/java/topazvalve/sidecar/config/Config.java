package topazvalve.sidecar.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.StringJoiner;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.net.Addresses;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;
import topazvalve.policy.SettingsReader;
import topazvalve.sidecar.admin.AdminServer;

/** What one sidecar is told, checked whole; a mistake is an exception whose message names the key. */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        EndpointUpdate known,
        SettingsReader options,
        JsonNode root) {
    private static final Logger LOG = LoggerFactory.getLogger("sidecar");
    /** Settings that the module, or what it knows, can't change while it runs. */
    private static final List<String> FIXED = List.of("discovery", "parties");

    private static final long MB = 1 << 20;
    private static final long LEAST_MB = 96;
    private static final int FEWEST_SOCKETS = 64;
    private static final int RESERVED = 40;

    /** A file that is cut short or pasted together must not pass for what its first part says. */
    public static Config read(Path file) throws IOException {
        try {
            return of(JsonReader.readStrictly(Files.readAllBytes(file)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
    }

    public static Config of(JsonNode root) {
        JsonNode settings = root.path("settings");
        if (!settings.isObject()) {
            throw new IllegalArgumentException("missing: settings");
        }
        requireNumbers(settings);
        StringBuilder lines = new StringBuilder();
        flatten("", settings, lines);
        SettingsReader options = new SettingsReader(lines.toString());
        options.settings();
        List<String> names = options.names("profiles");
        if (Set.copyOf(names).size() < names.size()) {
            throw new IllegalArgumentException("a name is given twice: settings.profiles");
        }
        int sockets = (int) root.path("limits").path("sockets").asLong(1024);
        if (sockets < FEWEST_SOCKETS) {
            throw new IllegalArgumentException("too few: limits.sockets");
        }
        EndpointUpdate known = root.has("known") ? EndpointUpdate.of(root.path("known")) : EndpointUpdate.NONE;
        return new Config(
                root.path("name").asText("sidecar"),
                address(root, "listen"),
                admin(root),
                address(root, "discovery"),
                seed(root),
                sockets,
                known,
                options,
                root);
    }

    /** What decides how long and how often is never guessed at. */
    private static void requireNumbers(JsonNode settings) {
        requireAboveNought(settings.path("caps"), "tryLimit", "caps.");
        int number = 0;
        for (JsonNode profile : settings.path("profiles")) {
            String path = "profiles." + number++ + ".";
            requireAboveNought(profile, "deadline", path);
            requireAboveNought(profile, "slo", path);
            requireKeys(
                    profile,
                    path,
                    "by_key".equals(profile.path("semantics").asText())
                            ? List.of("name", "semantics", "keyScope", "keyTtl")
                            : List.of("name", "semantics"));
        }
    }

    private static void requireAboveNought(JsonNode holder, String key, String path) {
        JsonNode value = holder.path(key);
        if (!(value.asDouble(0) > 0)) {
            throw new IllegalArgumentException("not a number above 0: " + path + key);
        }
    }

    private static void requireKeys(JsonNode holder, String path, Iterable<String> keys) {
        for (String key : keys) {
            if (!holder.hasNonNull(key)) {
                throw new IllegalArgumentException("missing: " + path + key);
            }
        }
    }

    /**
     * Whether a running sidecar may take this over from what it has: each key that is in force has to be
     * there again, since a default in its place would change the rules unasked.
     */
    public void requireFit(Config inForce) {
        requireSameKeys("", inForce.root, root);
        for (String key : FIXED) {
            if (!root.path("settings")
                    .path(key)
                    .equals(inForce.root.path("settings").path(key))) {
                throw new IllegalArgumentException("changes only with a restart: settings." + key);
            }
        }
        if (!listen.equals(inForce.listen) || !Objects.equals(admin, inForce.admin)) {
            LOG.warn("listen and admin stay as they are until a restart");
        }
    }

    /** Lists are not looked into: their entries come and go. */
    private static void requireSameKeys(String path, JsonNode inForce, JsonNode next) {
        for (String key : inForce.keys()) {
            if (!inForce.path(key).isNull()) {
                requireKeys(next, path, List.of(key));
                requireSameKeys(path + key + ".", inForce.path(key), next.path(key));
            }
        }
    }

    /** Clients' share of the descriptors: those of {@link #mostClients}, and some on their way in or out. */
    public int clientDescriptors() {
        return sockets * 3 / 8;
    }

    /** Connections beyond this make room: clients need up to a third of the descriptors for requests. */
    public int mostClients() {
        return sockets / 3;
    }

    /** What bodies may hold of the memory: the JVM and its heap's spare room need most of it. */
    public long bodyBytes() {
        return root.path("limits").path("memory_mb").asLong(LEAST_MB) * MB / 12;
    }

    /** The rest, but for what the JVM, the listening, discovery and operators hold. */
    public int mostUpstream() {
        int operators = admin == null ? 0 : AdminServer.MOST_CONNECTIONS;
        return Math.max(sockets / 4, sockets - clientDescriptors() - RESERVED - operators);
    }

    /** Where operators call: the file's word, else the environment's; null if nobody has said. */
    private static InetSocketAddress admin(JsonNode root) {
        if (root.has("admin")) {
            return address(root, "admin");
        }
        String given = System.getenv().getOrDefault("PROXY_ADMIN", "");
        if (given.isEmpty()) {
            return null;
        }
        InetSocketAddress address = Addresses.parse(given);
        if (address == null) {
            throw new IllegalArgumentException("not an address and port: PROXY_ADMIN");
        }
        return address;
    }

    private static InetSocketAddress address(JsonNode root, String key) {
        InetSocketAddress address = Addresses.parse(root.path(key).asText(""));
        if (address == null) {
            throw new IllegalArgumentException("not an address and port: " + key);
        }
        return address;
    }

    private static long seed(JsonNode root) {
        try {
            return Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a hexadecimal number: seed", e);
        }
    }

    /** Writes a JSON tree as the path=value lines of the simulator's wire, which {@link SettingsReader} reads. */
    private static void flatten(String path, JsonNode node, StringBuilder lines) {
        if (node.isObject()) {
            for (String key : node.keys()) {
                flatten(path.isEmpty() ? key : path + "." + key, node.path(key), lines);
            }
        } else if (node.isArray() && node.size() > 0 && node.iterator().next().isContainer()) {
            lines.append(path).append(".count=").append(node.size()).append('\n');
            int number = 0;
            for (JsonNode each : node) {
                flatten(path + "." + number++, each, lines);
            }
        } else if (node.isArray()) {
            StringJoiner values = new StringJoiner(",");
            node.forEach(value -> values.add(value.asText()));
            lines.append(path).append('=').append(values).append('\n');
        } else if (!node.isNull()) {
            lines.append(path).append('=').append(node.asText()).append('\n');
        }
    }
}

package topazvalve.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import topazvalve.core.net.Addresses;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/**
 * Reads the {@code [[listener]]} tables of the operator's file. {@code docs/tcp.md} describes each key, with
 * its default and range.
 */
public final class TcpFile {
    private static final Pattern NAME = Pattern.compile("[a-z0-9_-]{0,32}");
    private static final int MIN_BUFFER_BYTES = 1 << 10;
    private static final int DEFAULT_BUFFER_BYTES = 64 << 10;
    private static final int MAX_BUFFER_BYTES = 16 << 20;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_STREAMS = 1_000_000;

    /** The protocol of a listener. TCP is the only one so far. */
    enum Protocol {
        TCP
    }

    private TcpFile() {}

    /**
     * Reads the file at {@code path}.
     *
     * @throws topazvalve.toml.InvalidFileException with all problems, if there are any
     */
    public static List<TcpSettings> read(Path path) throws IOException {
        return parse(path.toString(), Files.readString(path));
    }

    /**
     * Reads a file's text; {@code name} stands for the file in messages.
     *
     * @throws topazvalve.toml.InvalidFileException with all problems, if there are any
     */
    public static List<TcpSettings> parse(String name, String text) {
        return TomlFile.parse(name, text, TcpFile::readListeners);
    }

    /** Reads the listeners of a file that may contain other tables; problems are recorded in {@code root}. */
    public static List<TcpSettings> readListeners(Table root) {
        List<TcpSettings> listeners = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (Table table : root.tables("listener", 0)) {
            TcpSettings listener = readListener(table);
            if (!names.add(listener.name())) {
                table.addProblem("name", "\"" + listener.name() + "\" is given twice");
            }
            if (listener.listen().getPort() != 0 && !addresses.add(listener.listen())) {
                table.addProblem("listen", "is already the address of another listener");
            }
            listeners.add(listener);
        }
        return listeners;
    }

    /** Reads one listener. Problems are reported in the order in which the keys are read here. */
    private static TcpSettings readListener(Table table) {
        String name = name(table);
        table.choice(Protocol.class, "protocol", null);
        InetSocketAddress listen = address(table, "listen", table.string("listen", null));
        List<InetSocketAddress> servers = addresses(table, "servers", null);
        List<InetSocketAddress> draining = addresses(table, "draining", List.of());
        checkServers(table, servers, draining);
        long connectTimeoutNanos = table.duration("connect_timeout", "1s", "1ms", "1m");
        long connectDeadlineNanos = table.duration("connect_deadline", "3s", "1ms", "5m");
        if (connectDeadlineNanos < connectTimeoutNanos) {
            table.addProblem("connect_deadline", "is shorter than connect_timeout; no attempt could use its full time");
        }
        return new TcpSettings(
                name,
                listen,
                servers,
                draining,
                connectTimeoutNanos,
                connectDeadlineNanos,
                table.integer("attempts", 3, 1, MAX_ATTEMPTS),
                table.duration("idle", "10m", "0", "1440m"),
                table.duration("total", "0", "0", "1440m"),
                table.duration("grace", "30s", "0", "60m"),
                table.integer("most_streams", 10_000, 1, MAX_STREAMS),
                table.integer("most_per_client", 1_000, 1, MAX_STREAMS),
                table.integer("buffer", DEFAULT_BUFFER_BYTES, MIN_BUFFER_BYTES, MAX_BUFFER_BYTES),
                table.flag("keep_alive", true),
                table.choice(TcpSettings.RejectionMode.class, "refusal", TcpSettings.RejectionMode.RESET),
                table.flag("proxy_in", false),
                table.integer("proxy_out", 0, 0, 2));
    }

    private static String name(Table table) {
        String name = table.string("name", null);
        if (!NAME.matcher(name).matches()) {
            table.addProblem("name", "\"" + name + "\" is not 1 to 32 lowercase letters, digits, - and _");
        }
        return name;
    }

    private static void checkServers(Table table, List<InetSocketAddress> servers, List<InetSocketAddress> draining) {
        if (servers.isEmpty()) {
            table.addProblem("servers", "is empty; at least one address and port is required");
        }
        if (!servers.containsAll(draining)) {
            table.addProblem("draining", "contains an address that is not in servers");
        }
    }

    private static List<InetSocketAddress> addresses(Table table, String key, List<String> defaults) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : table.strings(key, defaults)) {
            InetSocketAddress address = address(table, key, text);
            if (addresses.contains(address)) {
                table.addProblem(key, text + " is given twice");
            }
            addresses.add(address);
        }
        return addresses;
    }

    /** Parses an address. Records a problem and returns a placeholder if the text is not an address. */
    private static InetSocketAddress address(Table table, String key, String text) {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            table.addProblem(key, "\"" + text + "\" is not a numeric address and port");
            return new InetSocketAddress(0);
        }
        return address;
    }
}

package topazvalve.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazvalve.core.net.Addresses;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** The {@code [[listener]]} tables of the operator's file; {@code docs/tcp.md} describes each key. */
public final class TcpFile {
    private static final int LARGEST_BUFFER = 16 << 20;

    /** What a listener speaks; others come with other protocols. */
    enum Protocol {
        TCP
    }

    private TcpFile() {}

    /** Reads a file; {@link topazvalve.toml.InvalidFileException} if it has faults, and nothing of it holds. */
    public static List<TcpSettings> read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Reads a text; {@code name} stands for it in messages. */
    public static List<TcpSettings> parse(String name, String text) {
        return TomlFile.parse(name, text, TcpFile::listeners);
    }

    /** The listeners of a file that has other tables too. */
    public static List<TcpSettings> listeners(Table root) {
        List<TcpSettings> listeners = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<InetSocketAddress> places = new HashSet<>();
        for (Table table : root.tables("listener", 0)) {
            TcpSettings each = listener(table);
            if (!names.add(each.name())) {
                table.wrong("name", "\"" + each.name() + "\" is given twice");
            }
            if (each.listen().getPort() != 0 && !places.add(each.listen())) {
                table.wrong("listen", "two listeners at one address");
            }
            listeners.add(each);
        }
        return listeners;
    }

    private static TcpSettings listener(Table table) {
        String name = table.text("name", null);
        if (!name.matches("[a-z0-9_-]{0,32}")) {
            table.wrong("name", "\"" + name + "\" is not 1 to 32 small letters, digits, - and _");
        }
        table.choice(Protocol.class, "protocol", null);
        InetSocketAddress listen = address(table, "listen", table.text("listen", null));
        List<InetSocketAddress> servers = addresses(table, "servers", null);
        List<InetSocketAddress> draining = addresses(table, "draining", List.of());
        if (servers.isEmpty()) {
            table.wrong("servers", "is empty; at least one address and port");
        }
        if (!servers.containsAll(draining)) {
            table.wrong("draining", "names what is not among the servers");
        }
        long connectTimeout = table.duration("connect_timeout", "1s", "1ms", "1m");
        long connectDeadline = table.duration("connect_deadline", "3s", "1ms", "5m");
        if (connectDeadline < connectTimeout) {
            table.wrong("connect_deadline", "is shorter than connect_timeout: no attempt could use its time");
        }
        return new TcpSettings(
                name,
                listen,
                servers,
                draining,
                connectTimeout,
                connectDeadline,
                table.whole("attempts", 3, 1, 4),
                table.duration("idle", "10m", "0", "1440m"),
                table.duration("total", "0", "0", "1440m"),
                table.duration("grace", "30s", "0", "60m"),
                table.whole("most_streams", 10_000, 1, 1_000_000),
                table.whole("most_per_client", 1_000, 1, 1_000_000),
                table.whole("buffer", 64 << 10, 1 << 10, LARGEST_BUFFER),
                table.flag("keep_alive", true),
                table.choice(TcpSettings.Refusal.class, "refusal", TcpSettings.Refusal.RESET),
                table.flag("proxy_in", false),
                table.whole("proxy_out", 0, 0, 2));
    }

    private static List<InetSocketAddress> addresses(Table table, String key, List<String> absent) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : table.texts(key, absent)) {
            InetSocketAddress address = address(table, key, text);
            if (addresses.contains(address)) {
                table.wrong(key, text + " is given twice");
            }
            addresses.add(address);
        }
        return addresses;
    }

    private static InetSocketAddress address(Table table, String key, String text) {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            table.wrong(key, "\"" + text + "\" is not a numeric address and port");
            return new InetSocketAddress(0);
        }
        return address;
    }
}

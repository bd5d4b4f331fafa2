package topazvalve.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazvalve.core.net.Addresses;
import topazvalve.discovery.state.VersionVector;
import topazvalve.relay.RelaySettings.SourceSettings;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** Reads a relay's TOML file. Only this class knows the names of the file's keys. */
public final class RelayFile {
    private static final int MAX_SUBSCRIBERS_LIMIT = 1_000_000;
    private static final int MIN_BUFFER_BYTES = 1 << 10;
    private static final int MAX_BUFFER_BYTES = 64 << 20;
    private static final int MAX_LOGGED_ENTRIES = 10_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private RelayFile() {}

    /**
     * Reads a file.
     *
     * @throws topazvalve.toml.InvalidFileException if the file has problems; it lists all of them
     * @throws IOException if the file cannot be read
     */
    public static RelaySettings read(Path file) throws IOException {
        return TomlFile.read(file, RelayFile::readSettings);
    }

    /**
     * Parses the text of a file.
     *
     * @param name the name of the file in messages
     * @throws topazvalve.toml.InvalidFileException if the text has problems; it lists all of them
     */
    public static RelaySettings parse(String name, String text) {
        return TomlFile.parse(name, text, RelayFile::readSettings);
    }

    private static RelaySettings readSettings(Table root) {
        String name = root.string("name", "relay");
        InetSocketAddress listen = parseAddress(root, "listen", root.string("listen", null));
        List<SourceSettings> sources = readSources(root);
        return new RelaySettings(
                name,
                listen,
                sources,
                root.integer("most_callers", RelaySettings.DEFAULT_MAX_SUBSCRIBERS, 1, MAX_SUBSCRIBERS_LIMIT),
                root.integer(
                        "caller_bytes",
                        RelaySettings.DEFAULT_SUBSCRIBER_BUFFER_BYTES,
                        MIN_BUFFER_BYTES,
                        MAX_BUFFER_BYTES),
                root.integer("logged_entries", RelaySettings.DEFAULT_LOGGED_ENTRIES, 1, MAX_LOGGED_ENTRIES),
                root.duration("stall", "10s", "100ms", "10m") / NANOS_PER_MILLI);
    }

    private static List<SourceSettings> readSources(Table root) {
        List<Table> tables = root.tables("source", 1);
        if (tables.size() > VersionVector.MAX_SOURCES) {
            root.addProblem("source", tables.size() + " sources exceed the maximum of " + VersionVector.MAX_SOURCES);
        }
        Set<String> names = new HashSet<>();
        List<SourceSettings> sources = new ArrayList<>();
        for (Table table : tables) {
            String name = table.string("name", null);
            checkSourceName(table, name, names);
            sources.add(new SourceSettings(name, readAddresses(table)));
        }
        return List.copyOf(sources);
    }

    private static void checkSourceName(Table table, String name, Set<String> previousNames) {
        if (!VersionVector.SOURCE_NAME.matcher(name).matches()) {
            table.addProblem("name", "\"" + name + "\" is not 1 to 32 lowercase letters, digits, - and _");
        } else if (!previousNames.add(name)) {
            table.addProblem("name", "\"" + name + "\" is given twice");
        }
    }

    private static List<InetSocketAddress> readAddresses(Table table) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : table.strings("addresses", null)) {
            addresses.add(parseAddress(table, "addresses", text));
        }
        return List.copyOf(addresses);
    }

    /** Parses an address. Records a problem and returns a placeholder if the text is not an address. */
    private static InetSocketAddress parseAddress(Table table, String key, String text) {
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            table.addProblem(key, "\"" + text + "\" is not a numeric address and port");
            return new InetSocketAddress(0);
        }
        return address;
    }
}

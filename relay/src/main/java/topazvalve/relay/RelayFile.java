package topazvalve.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
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

/** A relay's file, in TOML: read whole or refused with all its faults. */
public final class RelayFile {
    private RelayFile() {}

    /** Reads a file; {@link topazvalve.toml.InvalidFileException} if it has faults. */
    public static RelaySettings read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Reads a text; {@code name} stands for it in messages. */
    public static RelaySettings parse(String name, String text) {
        return TomlFile.parse(name, text, RelayFile::settings);
    }

    private static RelaySettings settings(Table root) {
        String name = root.text("name", "relay");
        InetSocketAddress listen = address(root, "listen", root.text("listen", null));
        Set<String> names = new HashSet<>();
        List<SourceSettings> sources = new ArrayList<>();
        List<Table> tables = root.tables("source", 1);
        if (tables.size() > VersionVector.MAX_SOURCES) {
            root.wrong("source", tables.size() + " are more than " + VersionVector.MAX_SOURCES);
        }
        for (Table table : tables) {
            String source = table.text("name", null);
            if (!VersionVector.SOURCE_NAME.matcher(source).matches()) {
                table.wrong("name", "\"" + source + "\" is not 1 to 32 small letters, digits, - and _");
            } else if (!names.add(source)) {
                table.wrong("name", "\"" + source + "\" is given twice");
            }
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (String each : table.texts("addresses", null)) {
                addresses.add(address(table, "addresses", each));
            }
            sources.add(new SourceSettings(source, List.copyOf(addresses)));
        }
        return new RelaySettings(
                name,
                listen,
                List.copyOf(sources),
                root.whole("most_callers", RelaySettings.DEFAULT_MAX_SUBSCRIBERS, 1, 1_000_000),
                root.whole("caller_bytes", RelaySettings.DEFAULT_SUBSCRIBER_BUFFER_BYTES, 1 << 10, 64 << 20),
                root.whole("logged_entries", RelaySettings.DEFAULT_LOGGED_ENTRIES, 1, 10_000_000),
                root.duration("stall", "10s", "100ms", "10m") / 1_000_000);
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

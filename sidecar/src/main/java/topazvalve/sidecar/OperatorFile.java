package topazvalve.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import topazvalve.core.net.Addresses;
import topazvalve.tcp.TcpFile;
import topazvalve.tcp.TcpSettings;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/**
 * What an installation has beyond the platform; {@code docs/tcp.md} and {@code docs/relay.md} have each key.
 *
 * @param listeners for opaque streams
 * @param relays where the list is asked for in discovery's place; none, and discovery is
 */
public record OperatorFile(List<TcpSettings> listeners, List<InetSocketAddress> relays) {
    /** Of an installation that has nothing beyond the platform. */
    public static final OperatorFile NONE = new OperatorFile(List.of(), List.of());
    /** An order is drawn over all of them; more than any plan has. */
    private static final int MOST_RELAYS = 256;

    /** Reads a file; {@link topazvalve.toml.InvalidFileException} if it has faults, and nothing of it holds. */
    public static OperatorFile read(Path file) throws IOException {
        return file == null ? NONE : parse(file.toString(), Files.readString(file));
    }

    /** Reads a text; {@code name} stands for it in messages. */
    public static OperatorFile parse(String name, String text) {
        return TomlFile.parse(
                name, text, root -> new OperatorFile(TcpFile.listeners(root), relays(root.table("relays"))));
    }

    private static List<InetSocketAddress> relays(Table table) {
        Set<InetSocketAddress> relays = new LinkedHashSet<>();
        List<String> texts = table.texts("addresses", List.of());
        if (texts.size() > MOST_RELAYS) {
            table.wrong("addresses", texts.size() + " are more than " + MOST_RELAYS);
        }
        for (String text : texts) {
            InetSocketAddress address = Addresses.parse(text);
            if (address == null || address.getPort() == 0) {
                table.wrong("addresses", "\"" + text + "\" is not a numeric address and port");
            } else if (!relays.add(address)) {
                table.wrong("addresses", text + " is given twice");
            }
        }
        return List.copyOf(relays);
    }
}

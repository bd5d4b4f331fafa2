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
 * The operator's own settings beyond the platform's; {@code docs/tcp.md} and {@code docs/relay.md} describe each key.
 *
 * @param listeners for opaque TCP streams
 * @param relays where the endpoint list is asked for in discovery's place; empty to ask discovery
 */
public record OperatorFile(List<TcpSettings> listeners, List<InetSocketAddress> relays) {
    /** The settings of an installation without an operator's file. */
    public static final OperatorFile NONE = new OperatorFile(List.of(), List.of());
    /** A permutation of all relays is drawn; this is more than any installation has. */
    private static final int MAX_RELAYS = 256;

    /**
     * Reads a file; {@code null} stands for none.
     *
     * @throws topazvalve.toml.InvalidFileException if the file has mistakes; the message names each key
     * @throws IOException if the file can't be read
     */
    public static OperatorFile read(Path file) throws IOException {
        return file == null ? NONE : parse(file.toString(), Files.readString(file));
    }

    /**
     * Parses a file's text; {@code name} stands for the file in messages.
     *
     * @throws topazvalve.toml.InvalidFileException if it has mistakes; the message names each key
     */
    public static OperatorFile parse(String name, String text) {
        return TomlFile.parse(
                name, text, root -> new OperatorFile(TcpFile.readListeners(root), relays(root.table("relays"))));
    }

    private static List<InetSocketAddress> relays(Table table) {
        Set<InetSocketAddress> relays = new LinkedHashSet<>();
        List<String> texts = table.strings("addresses", List.of());
        if (texts.size() > MAX_RELAYS) {
            table.addProblem("addresses", texts.size() + " are more than " + MAX_RELAYS);
        }
        for (String text : texts) {
            InetSocketAddress address = Addresses.parse(text);
            if (address == null || address.getPort() == 0) {
                table.addProblem("addresses", "\"" + text + "\" is not a numeric address and port");
            } else if (!relays.add(address)) {
                table.addProblem("addresses", text + " is given twice");
            }
        }
        return List.copyOf(relays);
    }
}

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
 * The settings of the operator file, which supplement the platform's configuration. {@code docs/tcp.md} and
 * {@code docs/relay.md} describe each key.
 *
 * @param listeners listeners for opaque TCP streams
 * @param relays relays to get the endpoint list from; empty to get it from discovery directly
 */
public record OperatorFile(List<TcpSettings> listeners, List<InetSocketAddress> relays) {
    /** The settings of an installation without an operator file. */
    public static final OperatorFile NONE = new OperatorFile(List.of(), List.of());
    /** Bounds the permutation that is drawn of all relays; no installation has as many. */
    private static final int MAX_RELAYS = 256;

    /**
     * Reads a file; {@code null} means that there is none.
     *
     * @throws topazvalve.toml.InvalidFileException if the file is invalid; the message names each key at fault
     * @throws IOException if the file can't be read
     */
    public static OperatorFile read(Path file) throws IOException {
        return file == null ? NONE : parse(file.toString(), Files.readString(file));
    }

    /**
     * Parses the text of a file; {@code name} identifies the file in messages.
     *
     * @throws topazvalve.toml.InvalidFileException if it is invalid; the message names each key at fault
     */
    public static OperatorFile parse(String name, String text) {
        return TomlFile.parse(
                name, text, root -> new OperatorFile(TcpFile.readListeners(root), relays(root.table("relays"))));
    }

    private static List<InetSocketAddress> relays(Table table) {
        Set<InetSocketAddress> relays = new LinkedHashSet<>();
        List<String> texts = table.strings("addresses", List.of());
        if (texts.size() > MAX_RELAYS) {
            table.addProblem("addresses", texts.size() + " addresses exceed the maximum of " + MAX_RELAYS);
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

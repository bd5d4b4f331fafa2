package topazvalve.capacity.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a sidecar's admin endpoint, one connection for each request. */
final class AdminClient {
    private static final Pattern POOL_SIZE = Pattern.compile("app\\.pool_size=([0-9]+)");
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final String NO_RESPONSE = "";

    private final int port;

    AdminClient(int port) {
        this.port = port;
    }

    /** Returns the length of the endpoint list in force; empty if the admin endpoint does not respond. */
    OptionalInt listedServers() {
        Matcher matcher = POOL_SIZE.matcher(get("/_vars"));
        return matcher.find() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
    }

    /** Returns whether the sidecar accepts clients. */
    boolean isReady() {
        return get("/_ready").startsWith("HTTP/1.1 200");
    }

    private String get(String path) {
        String request = "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return NO_RESPONSE;
        }
    }
}

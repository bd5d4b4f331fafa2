import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection to a sidecar, and the requests that clients send. */
final class Client implements Closeable {
    /** An answer; {@code status} is 0 if the connection ended first, and {@code whole} tells whether it came whole. */
    record Answer(int status, boolean close, String body, boolean whole) {}

    final Socket socket;
    private final InputStream in;
    /** How the connection ended; null while it is open. */
    volatile String end;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a request; {@code key} is its idempotency key, or null for a class without one. */
    static byte[] request(String id, String kind, int deadlineMillis, String key, String method, String body) {
        return ((method + " /api/" + id + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind
                        + "\r\nReq-Deadline-Ms: " + deadlineMillis + "\r\n"
                        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads the next answer. */
    Answer readAnswer() {
        int status = 0;
        boolean close = false;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String line = readLine();
            int length = 0;
            boolean chunked = false;
            status = Integer.parseInt(line.split(" ")[1]);
            for (String field = readLine(); !field.isEmpty(); field = readLine()) {
                String lower = field.toLowerCase(Locale.ROOT);
                close |= lower.startsWith("connection:") && lower.contains("close");
                chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(15).trim());
                }
            }
            if (!chunked) {
                readFully(length, body);
            }
            while (chunked) {
                int size = Integer.parseInt(readLine().trim(), 16);
                readFully(size, body);
                readLine();
                chunked = size > 0;
            }
            return new Answer(status, close, body.toString(StandardCharsets.US_ASCII), true);
        } catch (IOException | RuntimeException e) {
            end = String.valueOf(e.getMessage());
            return new Answer(status, close, body.toString(StandardCharsets.US_ASCII), false);
        }
    }

    private void readFully(int length, ByteArrayOutputStream to) throws IOException {
        byte[] buffer = new byte[8192];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new IOException("end of input");
            }
            to.write(buffer, 0, count);
            left -= count;
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("end of input");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

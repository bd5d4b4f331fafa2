import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A stand-in for an order server: one thread for each connection, one request at a time on it. */
final class OrderServer {
    /** A request that has arrived whole. */
    record Request(String method, String path, Map<String, String> headers, byte[] body, long arrivedNanos, long firstByteNanos) {
        String id() {
            return headers.get("req-id");
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** Answers a request. */
    interface Handler {
        void answer(OrderServer server, Request request, OutputStream out, Socket connection) throws Exception;
    }

    final String uid;
    final ServerSocket socket;
    private volatile Handler handler;

    OrderServer(String uid, Handler handler) throws IOException {
        this.uid = uid;
        this.handler = handler;
        this.socket = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    void handler(Handler next) {
        handler = next;
    }

    static Thread daemon(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                daemon(() -> serve(accepted));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                handler.answer(this, request, connection.getOutputStream(), connection);
            }
        } catch (Exception e) {
            // The connection has ended.
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        long firstByteNanos = System.nanoTime();
        String[] words = line.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                return null;
            }
        } else if (headers.containsKey("transfer-encoding")) {
            java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in), 16); size > 0; size = Integer.parseInt(readLine(in), 16)) {
                whole.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
            body = whole.toByteArray();
        }
        return new Request(words[0], words[1], headers, body, System.nanoTime(), firstByteNanos);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
    }

    /** Writes a whole 200 answer with a length. */
    static void ok(OutputStream out, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(bytes, 0, whole, head.length, bytes.length);
        out.write(whole);
        out.flush();
    }
}

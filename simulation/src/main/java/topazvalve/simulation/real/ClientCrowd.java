package topazvalve.simulation.real;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.RandomStream;

/** Hundreds of clients that connect to a sidecar at once, send something that does not end, and stay. */
final class ClientCrowd {
    private static final int CLIENTS = 200;
    private static final int CONNECT_PAUSE_MILLIS = 1;
    private static final int WRITE_PAUSE_MILLIS = 20;
    private static final int PIECE_BYTES = 1000;
    private static final String HOST = "Host: app.svc\r\n";

    /** What each client sends, in pieces. */
    private enum Kind {
        IDLE(""),
        HALF_HEADS("POST /api/1 HTTP/1.1\r\n" + HOST + "Req-Id: "),
        SHORT_FIELDS("GET /up HTTP/1.1\r\n" + HOST + "a:b\r\n".repeat(95)),
        HALF_BODIES("POST /up HTTP/1.1\r\n" + HOST + "Content-Length: 2000000\r\n\r\n" + "x".repeat(100_000)),
        HALF_CHUNKED_BODIES(
                "POST /up HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(10_000));

        private final String text;

        Kind(String text) {
            this.text = text;
        }

        private byte[] bytes() {
            return text.getBytes(StandardCharsets.US_ASCII);
        }
    }

    private ClientCrowd() {}

    /** Starts clients of a kind that is drawn, and returns the name of the kind; they leave by themselves. */
    static String start(int port, long nanos, RandomStream random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        long endNanos = System.nanoTime() + nanos;
        DisturbingClients.start(() -> run(port, endNanos, kind));
        return kind.name();
    }

    private static void run(int port, long endNanos, Kind kind) {
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = DisturbingClients.connect(port, 0);
                clients.add(client);
                DisturbingClients.start(() -> DisturbingClients.readAll(client));
                TimeUnit.MILLISECONDS.sleep(CONNECT_PAUSE_MILLIS);
            }
            write(clients, endNanos, kind.bytes());
            TimeUnit.NANOSECONDS.sleep(endNanos - System.nanoTime());
        } catch (IOException | InterruptedException e) {
            // The sidecar accepts no more clients, or the run is over.
        } finally {
            clients.forEach(DisturbingClients::close);
        }
    }

    /** Writes a piece to each client in turn, until all is written. */
    private static void write(List<Socket> clients, long endNanos, byte[] bytes) throws InterruptedException {
        for (int offset = 0; offset < bytes.length && System.nanoTime() - endNanos < 0; offset += PIECE_BYTES) {
            int length = Math.min(PIECE_BYTES, bytes.length - offset);
            for (Socket client : clients) {
                write(client, bytes, offset, length);
            }
            TimeUnit.MILLISECONDS.sleep(WRITE_PAUSE_MILLIS);
        }
    }

    private static void write(Socket client, byte[] bytes, int offset, int length) {
        try {
            client.getOutputStream().write(bytes, offset, length);
        } catch (IOException e) {
            // The sidecar has ended this client.
        }
    }
}

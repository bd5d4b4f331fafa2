package topazvalve.simulation.real;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import topazvalve.simulation.model.RandomStream;

/** A few clients that send small or unsound requests to a sidecar at full speed and reconnect as soon as they can. */
final class ClientFlood {
    private static final int CLIENTS = 6;
    private static final int BATCH_REQUESTS = 200;
    private static final String HOST = "Host: app.svc\r\n";

    /** What the clients send. */
    private enum Kind {
        READINESS_CHECKS("GET /up HTTP/1.1\r\n" + HOST + "\r\n"),
        READINESS_CHECKS_ON_NEW_CONNECTIONS("GET /up HTTP/1.1\r\n" + HOST + "Connection: close\r\n\r\n"),
        UNKNOWN_PATHS("GET /unknown-%d HTTP/1.1\r\n" + HOST + "\r\n"),
        UNKNOWN_CLASSES("GET /api/1 HTTP/1.1\r\n" + HOST + "Req-Id: x%1$d\r\nReq-Kind: k%1$d\r\n\r\n"),
        NEW_HEADER_NAMES("GET /up HTTP/1.1\r\n" + HOST + "X-%d: 1\r\n\r\n"),
        NOISE("\0noise %d\r\n\r\n"),
        BLANK_LINES("\r\n"),
        NO_HOST("GET /up HTTP/1.1\r\n\r\n"),
        SMALL_CHUNKS("POST /up HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(200)),
        ENDLESS_HEADS("GET /up HTTP/1.1\r\n" + HOST + "a:b\r\n".repeat(200)),
        EXPECTATIONS("POST /up HTTP/1.1\r\n" + HOST + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"),
        BODIES_TOO_LARGE("POST /up HTTP/1.1\r\n" + HOST + "Content-Length: 60000000\r\n\r\n" + "x".repeat(900));

        private final String request;

        Kind(String request) {
            this.request = request;
        }

        private byte[] batch(long first) {
            StringBuilder text = new StringBuilder();
            for (long number = first; number < first + BATCH_REQUESTS; number++) {
                text.append(String.format(request, number));
            }
            return text.toString().getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private final int port;
    private final long endNanos;
    private final Kind kind;

    private ClientFlood(int port, long endNanos, Kind kind) {
        this.port = port;
        this.endNanos = endNanos;
        this.kind = kind;
    }

    /** Starts clients of a kind that is drawn, and returns the name of the kind; they stop by themselves. */
    static String start(int port, long nanos, RandomStream random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        ClientFlood flood = new ClientFlood(port, System.nanoTime() + nanos, kind);
        for (int i = 0; i < CLIENTS; i++) {
            DisturbingClients.start(flood::run);
        }
        return kind.name();
    }

    private boolean isOver() {
        return System.nanoTime() - endNanos >= 0;
    }

    private void run() {
        long number = 0;
        while (!isOver()) {
            try (Socket socket = DisturbingClients.connect(port, 0)) {
                DisturbingClients.start(() -> DisturbingClients.readAll(socket));
                while (!isOver()) {
                    socket.getOutputStream().write(kind.batch(number));
                    number += BATCH_REQUESTS;
                }
            } catch (IOException e) {
                // The sidecar has ended the connection; the next one follows at once.
            }
        }
    }
}

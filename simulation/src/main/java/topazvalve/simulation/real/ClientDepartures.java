package topazvalve.simulation.real;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import topazvalve.simulation.scenario.RequestClassSpec;

/**
 * Clients that send many sound requests to a sidecar at once and close at once, with most of them unread. It remembers
 * when each closed, so that servers can tell whether a request of it came too late.
 */
final class ClientDepartures {
    /** A client that has closed its connection, or will. */
    record Departure(int instance, long closedNanos) {}

    private static final String ID_PREFIX = "departed-";
    private static final int REQUESTS = 2_500;
    /** Holds all requests, so that no write waits for the sidecar. */
    private static final int BUFFER_BYTES = 1 << 20;

    private static final int PAUSE_MILLIS = 100;
    private static final long DEADLINE_MILLIS = 1_000;

    private final AtomicLong lastClient = new AtomicLong();
    /** By the number of the client, when it closed as a {@link System#nanoTime}; absent before. */
    private final Map<Long, Departure> departures = new ConcurrentHashMap<>();

    /** Starts clients, one after another, for this long; they stop by themselves. */
    void start(int instance, int port, long nanos, RequestClassSpec requestClass) {
        long endNanos = System.nanoTime() + nanos;
        DisturbingClients.start(() -> run(instance, port, endNanos, requestClass));
    }

    private void run(int instance, int port, long endNanos, RequestClassSpec requestClass) {
        try {
            while (System.nanoTime() - endNanos < 0) {
                depart(instance, port, requestClass);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void depart(int instance, int port, RequestClassSpec requestClass) {
        long client = lastClient.incrementAndGet();
        try (Socket socket = DisturbingClients.connect(port, BUFFER_BYTES)) {
            socket.getOutputStream().write(requests(client, requestClass));
        } catch (IOException e) {
            // The sidecar has ended the connection before.
        }
        departures.put(client, new Departure(instance, System.nanoTime()));
    }

    private static byte[] requests(long client, RequestClassSpec requestClass) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            String id = ID_PREFIX + client + "-" + i;
            text.append(HttpRequests.text(id, requestClass, DEADLINE_MILLIS));
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns whether a request id is one of these clients'. */
    static boolean isFromHere(String requestId) {
        return requestId != null && requestId.startsWith(ID_PREFIX);
    }

    /** Returns the departure of the client that sent a request; null if it has not closed yet. */
    Departure departureOf(String requestId) {
        String client = requestId.substring(ID_PREFIX.length(), requestId.lastIndexOf('-'));
        return departures.get(Long.parseLong(client));
    }
}

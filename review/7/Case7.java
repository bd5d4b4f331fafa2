import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Clients that take long answers at 64 kB a second, without a pause. */
public final class Case7 {
    private static final int CLIENTS = 3;
    private static final int ANSWER_BYTES = 16 << 20;
    private static final int PIECE_BYTES = 32 << 10;
    private static final int SLOW_BYTES_PER_SECOND = 64_000;
    private static final int READS_PER_SECOND = 10;
    private static final int SLOW_SECONDS = 40;
    private static final int DEADLINE_MILLIS = 2500;
    /** A client that paused for longer did not read steadily. */
    private static final long MAX_PAUSE_NANOS = 500_000_000;

    private final Bed bed;
    private int whole;
    private int cut;
    private boolean clientWasHeldUp;

    private Case7(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.main(args, bed -> new Case7(bed).run());
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 8; i++) {
            OrderServer server = new OrderServer("s-" + i, (self, request, out, connection) -> {
                Thread.sleep(60);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                byte[] piece = new byte[PIECE_BYTES];
                for (int given = 0; given < ANSWER_BYTES; given += PIECE_BYTES) {
                    try {
                        out.write(piece);
                    } catch (IOException e) {
                        bed.record("an order server has given " + given + " of " + ANSWER_BYTES
                                + " bytes and can't give the rest, since the sidecar has closed its connection: "
                                + e.getMessage());
                        throw e;
                    }
                }
                out.flush();
            });
            discovery.list("s-" + i, server.port(), i % 2 == 0 ? "cardiff" : "wrexham", i / 4, "SERVING", 0);
        }
        Settings settings = new Settings()
                .profile("charge-account", "once", 600, DEADLINE_MILLIS)
                .profile("book-delivery", "by_key:cell", 400, 1000);
        settings.discoveryPort = discovery.port();
        settings.known = discovery.wholeList();
        Bed.SidecarProcess sidecar = bed.startSidecar(settings);
        Thread.sleep(1000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(OrderServer.daemon(() -> client(sidecar)));
            Thread.sleep(300);
        }
        for (Thread thread : threads) {
            thread.join(90_000);
        }
        synchronized (this) {
            bed.record("answers that came whole " + whole + ", cut off " + cut);
            return whole + cut < CLIENTS || clientWasHeldUp ? Bed.COULD_NOT_RUN : cut > 0 ? Bed.BROKEN : Bed.HELD;
        }
    }

    /** Reads an answer at 64 kB a second for 40 s, and what is left of it at full speed. */
    private void client(Bed.SidecarProcess sidecar) {
        String id = Client.newId();
        try (Client client = new Client(sidecar.port)) {
            client.send(Client.request(id, "charge-account", DEADLINE_MILLIS, null, "POST", "amount=10"));
            InputStream in = client.socket.getInputStream();
            int headBytes = readHead(in);
            long startNanos = System.nanoTime();
            long bytes = 0;
            long longestPauseNanos = 0;
            long lastReadNanos = startNanos;
            byte[] slowPart = new byte[SLOW_BYTES_PER_SECOND / READS_PER_SECOND];
            byte[] fastPart = new byte[64 << 10];
            String end = "complete";
            while (bytes < ANSWER_BYTES) {
                long now = System.nanoTime();
                boolean slow = bed.trouble && now - startNanos < SLOW_SECONDS * 1_000_000_000L;
                longestPauseNanos = slow ? Math.max(longestPauseNanos, now - lastReadNanos) : longestPauseNanos;
                lastReadNanos = now;
                int count;
                try {
                    count = in.read(slow ? slowPart : fastPart);
                } catch (IOException e) {
                    end = e.getMessage();
                    break;
                }
                if (count < 0) {
                    end = "end of input";
                    break;
                }
                bytes += count;
                long aheadNanos = startNanos + bytes * 1_000_000_000L / SLOW_BYTES_PER_SECOND - System.nanoTime();
                if (slow && aheadNanos > 0) {
                    Thread.sleep(aheadNanos / 1_000_000);
                }
            }
            synchronized (this) {
                clientWasHeldUp |= longestPauseNanos > MAX_PAUSE_NANOS;
                whole += bytes == ANSWER_BYTES ? 1 : 0;
                cut += bytes == ANSWER_BYTES ? 0 : 1;
            }
            bed.record("request " + id + ", head of " + headBytes + " bytes: " + bytes + " of " + ANSWER_BYTES
                    + " bytes, " + (bytes == ANSWER_BYTES ? "whole" : "CUT OFF (" + end + ")") + "; longest time between two reads "
                    + longestPauseNanos / 1_000_000 + " ms; process alive: " + sidecar.process.isAlive());
        } catch (IOException | InterruptedException e) {
            bed.record("request " + id + " failed: " + e.getMessage());
        }
    }

    private static int readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no head");
            }
            head.append((char) next);
        }
        if (!head.toString().startsWith("HTTP/1.1 200")) {
            throw new IOException("not served: " + head.substring(0, 12));
        }
        return head.length();
    }
}

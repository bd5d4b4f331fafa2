import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers that order servers write slowly, and a planned restart whose SIGKILL comes late. */
public final class Case8 {
    private static final int LONGEST_DEADLINE_MILLIS = 2500;
    /** The platform may send SIGKILL 3.2 s after SIGTERM; here it waits for longer. */
    private static final int KILL_AFTER_MILLIS = 30_000;

    private static final int PIECE_BYTES = 16 << 10;
    private static final int PIECES = 64;
    private static final int PIECE_INTERVAL_MILLIS = 250; // 64 kB a second
    private static final int CLIENTS = 6;

    private final Bed bed;
    private final AtomicInteger piecesCutOff = new AtomicInteger();
    private int whole;
    private int cut;
    private int notServed;
    private volatile boolean killed;

    private Case8(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.main(args, bed -> new Case8(bed).run());
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 8; i++) {
            OrderServer server = new OrderServer("s-" + i, (self, request, out, connection) -> {
                Thread.sleep(80);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES * PIECE_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                byte[] piece = new byte[PIECE_BYTES];
                for (int written = 0; written < PIECES; written++) {
                    try {
                        out.write(piece);
                        out.flush();
                    } catch (java.io.IOException e) {
                        piecesCutOff.addAndGet(PIECES - written);
                        throw e;
                    }
                    Thread.sleep(PIECE_INTERVAL_MILLIS);
                }
            });
            discovery.list("s-" + i, server.port(), i % 2 == 0 ? "cardiff" : "wrexham", i / 4, "SERVING", 0);
        }
        Settings settings = new Settings()
                .profile("charge-account", "once", 600, LONGEST_DEADLINE_MILLIS)
                .profile("book-delivery", "by_key:cell", 400, 1000);
        settings.discoveryPort = discovery.port();
        settings.known = discovery.wholeList();
        Bed.SidecarProcess sidecar = bed.startSidecar(settings);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(OrderServer.daemon(() -> client(sidecar)));
            Thread.sleep(100);
        }
        Thread.sleep(1500);
        if (bed.trouble) {
            sidecar.signal("TERM");
            long termMillis = bed.millis();
            boolean ended = sidecar.process.waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS);
            bed.record(ended
                    ? "the sidecar ended by itself " + (bed.millis() - termMillis) + " ms after SIGTERM"
                    : "the sidecar still ran when SIGKILL was due");
            if (!ended) {
                killed = true;
                sidecar.signal("KILL");
            }
        }
        for (Thread thread : clients) {
            thread.join(30_000);
        }
        Thread.sleep(500);
        synchronized (this) {
            bed.record("answers that came whole " + whole + ", cut off " + cut + ", not served " + notServed + "; pieces that order servers still gave "
                    + piecesCutOff.get());
            // What SIGKILL finds of requests that came before SIGTERM is excused; only the sidecar's own end is not.
            boolean broken = cut > 0 && !killed;
            return whole + cut == 0 ? Bed.COULD_NOT_RUN : broken ? Bed.BROKEN : Bed.HELD;
        }
    }

    private void client(Bed.SidecarProcess sidecar) {
        String id = Client.newId();
        try (Client client = new Client(sidecar.port)) {
            client.send(Client.request(id, "charge-account", LONGEST_DEADLINE_MILLIS, null, "POST", "amount=10"));
            long sentMillis = bed.millis();
            Client.Answer answer = client.readAnswer();
            synchronized (this) {
                if (answer.status() != 200) {
                    notServed++; // refused or failed: a final answer, or none; this case looks at answers that have begun
                } else if (answer.whole()) {
                    whole++;
                } else {
                    cut++;
                }
                bed.record("request " + id + ", sent at " + sentMillis + " ms: status " + answer.status() + ", "
                        + answer.body().length() + " of " + PIECES * PIECE_BYTES + " bytes, "
                        + (answer.whole() ? "whole" : "CUT OFF (" + client.end + ")"));
            }
        } catch (java.io.IOException e) {
            bed.record("request " + id + " could not be sent: " + e.getMessage());
        }
    }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Order servers that hang in the middle of short answers with no length. */
public final class Case10 {
    private static final int DEADLINE_MILLIS = 1000;
    /** Half a second after its time an answer only earns nothing; 50 ms are the slack of every time limit. */
    private static final int LATEST_MILLIS = DEADLINE_MILLIS + 500 + 50;

    private static final int HANG_MILLIS = 10_000;
    private static final int CLIENTS = 4;
    private static final int RUN_MILLIS = 15_000;

    private final Bed bed;
    private volatile boolean hanging;
    private volatile boolean sending = true;
    private int sent;
    private int served;
    private int failed;
    private int lost;

    private Case10(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.main(args, bed -> new Case10(bed).run());
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 8; i++) {
            boolean hangs = i == 0; // one of eight
            OrderServer server = new OrderServer("s-" + i, (self, request, out, connection) -> {
                Thread.sleep(60);
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\ndone, first half\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Thread.sleep(60);
                if (hangs && hanging) {
                    Thread.sleep(HANG_MILLIS);
                }
                out.write("11\r\ndone, second half\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            });
            discovery.list("s-" + i, server.port(), i % 2 == 0 ? "cardiff" : "wrexham", i / 4, "SERVING", 0);
        }
        Settings settings = new Settings()
                .profile("charge-account", "once", 600, 2500)
                .profile("book-delivery", "by_key:cell", 400, DEADLINE_MILLIS);
        settings.discoveryPort = discovery.port();
        settings.known = discovery.wholeList();
        Bed.SidecarProcess sidecar = bed.startSidecar(settings);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(OrderServer.daemon(() -> client(sidecar)));
        }
        Thread.sleep(2000);
        if (bed.trouble) {
            hanging = true;
            bed.record("one order server of eight hangs in the middle of its answers");
        }
        Thread.sleep(RUN_MILLIS - 5000);
        hanging = false;
        Thread.sleep(3000);
        sending = false;
        for (Thread thread : clients) {
            thread.join(5000);
        }
        synchronized (this) {
            bed.record("requests sent " + sent + ", served " + served + ", failed in time " + failed + ", lost " + lost);
            return served == 0 ? Bed.COULD_NOT_RUN : lost > 0 ? Bed.BROKEN : Bed.HELD;
        }
    }

    /** Sends one request at a time; waits for each answer a little longer than its time. */
    private void client(Bed.SidecarProcess sidecar) {
        while (sending) {
            try (Client client = new Client(sidecar.port)) {
                boolean open = true;
                while (sending && open) {
                    String id = Client.newId();
                    client.send(Client.request(id, "book-delivery", DEADLINE_MILLIS, "k" + id, "POST", "litres=500"));
                    long sentNanos = System.nanoTime();
                    client.socket.setSoTimeout(LATEST_MILLIS);
                    Client.Answer answer = client.readAnswer();
                    long elapsedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
                    open = answer.whole() && !answer.close();
                    count(id, answer, elapsedMillis, client.end);
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                bed.record("a client could not go on: " + e.getMessage());
            }
        }
    }

    private synchronized void count(String id, Client.Answer answer, long elapsedMillis, String end) {
        sent++;
        boolean hasFinalAnswer = (answer.whole() || !end.contains("timed out")) && elapsedMillis <= LATEST_MILLIS;
        if (answer.whole() && answer.status() == 200 && hasFinalAnswer) {
            served++;
        } else if (hasFinalAnswer) {
            failed++;
        } else {
            lost++;
            bed.record("LOST: " + id + ", no final answer " + elapsedMillis + " ms after it was sent; its time was "
                    + DEADLINE_MILLIS + " ms; so far status " + answer.status() + " and " + answer.body().length() + " bytes");
        }
    }
}

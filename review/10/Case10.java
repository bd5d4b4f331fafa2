import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Order servers that declare a Content-Length that is too short for some answers. */
public final class Case10 {
    private static final int CLIENTS = 6;
    private static final int RUN_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 2500;
    private static final int SPOILT_ONE_OF = 20;
    private static final int MISSING_BYTES = 16;

    private final Bed bed;
    private volatile boolean sending = true;
    private int spoilt;
    private int right;
    private int failed;
    private int wrong;
    private int none;

    private Case10(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.main(args, bed -> new Case10(bed).run());
    }

    /** Returns the answer that an order server makes for a request. */
    private static String receipt(String id) {
        return "receipt " + id + " amount=1000 balance=250000";
    }

    private int run() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 8; i++) {
            OrderServer server = new OrderServer("s-" + i, (self, request, out, connection) -> {
                Thread.sleep(80);
                String receipt = receipt(request.id());
                boolean tooShort = bed.trouble && ThreadLocalRandom.current().nextInt(SPOILT_ONE_OF) == 0;
                int length = receipt.length() - (tooShort ? MISSING_BYTES : 0);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + receipt)
                        .getBytes(StandardCharsets.US_ASCII));
                out.flush();
                if (tooShort) {
                    synchronized (this) {
                        spoilt++;
                    }
                    // The connection stays open and serves no further use.
                    connection.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                }
            });
            discovery.list("s-" + i, server.port(), i % 2 == 0 ? "cardiff" : "wrexham", i / 4, "SERVING", 0);
        }
        Settings settings = new Settings()
                .profile("charge-account", "once", 600, DEADLINE_MILLIS)
                .profile("book-delivery", "by_key:cell", 400, 1000);
        settings.discoveryPort = discovery.port();
        settings.known = discovery.wholeList();
        Bed.SidecarProcess sidecar = bed.startSidecar(settings);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(OrderServer.daemon(() -> client(sidecar)));
        }
        Thread.sleep(RUN_MILLIS);
        sending = false;
        for (Thread thread : clients) {
            thread.join(5000);
        }
        synchronized (this) {
            bed.record("answers right " + right + ", failed " + failed + ", none " + none + ", WRONG with status 200 " + wrong
                    + "; order servers spoilt " + spoilt);
            return right == 0 ? Bed.COULD_NOT_RUN : wrong > 0 ? Bed.BROKEN : Bed.HELD;
        }
    }

    private void client(Bed.SidecarProcess sidecar) {
        while (sending) {
            try (Client client = new Client(sidecar.port)) {
                boolean open = true;
                while (sending && open) {
                    String id = Client.newId();
                    client.send(Client.request(id, "charge-account", DEADLINE_MILLIS, null, "POST", "amount=1000"));
                    Client.Answer answer = client.readAnswer();
                    open = answer.whole() && !answer.close();
                    count(id, answer);
                    Thread.sleep(20);
                }
            } catch (IOException | InterruptedException e) {
                bed.record("a client could not go on: " + e.getMessage());
            }
        }
    }

    private synchronized void count(String id, Client.Answer answer) {
        if (!answer.whole()) {
            none++;
            bed.record("no whole answer to " + id + ": status " + answer.status());
        } else if (answer.status() != 200) {
            failed++;
        } else if (answer.body().equals(receipt(id))) {
            right++;
        } else {
            wrong++;
            bed.record("WRONG: " + id + " got 200 and, complete by its length, \"" + answer.body() + "\"; the answer made for it was \""
                    + receipt(id) + "\"");
        }
    }
}

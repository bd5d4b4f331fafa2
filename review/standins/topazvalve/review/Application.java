package topazvalve.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The application beside one sidecar. It sends one request at a time on a connection, keeps its connections, and opens
 * more when all are busy. It does not retry.
 */
final class Application {
    /** Counts what the applications of a case sent and got, and knows the answer that was made for each request. */
    static final class Results {
        private final Lab lab;
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger clientsBusy = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger servedWrongly = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        private final Map<String, String> madeFor = new ConcurrentHashMap<>();
        private final Set<String> sentIds = ConcurrentHashMap.newKeySet();

        Results(Lab lab) {
            this.lab = lab;
        }

        /** Records the body that an order server made for a request. */
        void made(String id, String body) {
            madeFor.put(id, body);
        }

        /** Returns how many of the requests that were sent reached an order server. */
        long attempted() {
            return sentIds.stream().filter(madeFor::containsKey).count();
        }

        private void noAnswer(String id, IOException cause) {
            failed.incrementAndGet();
            lab.log("no whole answer to " + id + ": " + cause);
        }

        private void answered(String id, String kind, HttpReader.Message answer) {
            String body = HttpReader.text(answer);
            if (answer.status == 200) {
                boolean own = body.equals(madeFor.get(id));
                (own ? served : servedWrongly).incrementAndGet();
                lab.log((own ? "served " : "WRONG ANSWER to ") + id + " " + kind + ": " + body);
            } else if (answer.status == 503 || answer.status == 429) {
                refused.incrementAndGet();
                lab.log("refused " + id);
            } else {
                failed.incrementAndGet();
                lab.log("failed " + id + " with " + answer.status);
            }
        }

        @Override
        public String toString() {
            return "sent " + sent + " (not sent as all clients were busy " + clientsBusy + "), served " + served
                    + ", refused " + refused + ", failed " + failed;
        }
    }

    private final Lab lab;
    private final InetSocketAddress sidecar;
    private final Results results;
    private final Random arrivals;
    private final int maxOpenRequests;
    private final Semaphore openRequests;
    private final ConcurrentLinkedDeque<Socket> idleConnections = new ConcurrentLinkedDeque<>();

    Application(Lab lab, InetSocketAddress sidecar, int seed, int maxOpenRequests, Results results) {
        this.lab = lab;
        this.sidecar = sidecar;
        this.arrivals = new Random(seed);
        this.maxOpenRequests = maxOpenRequests;
        this.openRequests = new Semaphore(maxOpenRequests);
        this.results = results;
    }

    /**
     * Sends requests at random times, half of each class, and waits for their answers.
     *
     * @param swing the traffic comes in waves, whose crests are higher than the mean by this part of it
     */
    void sendRequests(double perSecond, double swing, double waveSeconds, double seconds) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(maxOpenRequests, task -> {
            Thread thread = new Thread(null, task, "client", 256 << 10);
            thread.setDaemon(true);
            return thread;
        });
        long begin = System.nanoTime();
        double at = 0;
        while (at < seconds) {
            double wave = 1 + swing * Math.sin(2 * Math.PI * at / waveSeconds);
            at -= Math.log(1 - arrivals.nextDouble()) / (perSecond * wave);
            Lab.sleepUntil(begin + (long) (at * 1e9));
            boolean charge = arrivals.nextBoolean();
            String id = String.format("%016x", arrivals.nextLong());
            String key = String.format("%032x", arrivals.nextLong() & Long.MAX_VALUE);
            if (!openRequests.tryAcquire()) {
                results.clientsBusy.incrementAndGet();
                continue;
            }
            clients.execute(() -> {
                try {
                    call(id, charge, key);
                } finally {
                    openRequests.release();
                }
            });
        }
        openRequests.tryAcquire(maxOpenRequests, 5, TimeUnit.SECONDS);
    }

    private void call(String id, boolean charge, String key) {
        String kind = charge ? "charge-account" : "book-delivery";
        String body = "order " + id;
        String request = "POST /api/" + id.substring(0, 2) + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + (charge ? 2500 : 1000)
                + (charge ? "" : "\r\nIdempotency-Key: " + key)
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        results.sent.incrementAndGet();
        results.sentIds.add(id);
        lab.log("sent " + id + " " + kind);
        Socket resting = idleConnections.pollFirst();
        if (resting != null) {
            try {
                results.answered(id, kind, exchange(resting, request));
                return;
            } catch (IOException e) {
                // The end of the resting connection may have crossed the request: once more, on a new one.
            }
        }
        try {
            results.answered(id, kind, exchange(connect(), request));
        } catch (IOException e) {
            results.noAnswer(id, e);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(sidecar, 1000);
        socket.setSoTimeout(5000);
        return socket;
    }

    private HttpReader.Message exchange(Socket socket, String request) throws IOException {
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            HttpReader.Message answer = new HttpReader(new BufferedInputStream(socket.getInputStream())).readResponse();
            if (answer.header("Connection").equalsIgnoreCase("close")) {
                socket.close();
            } else {
                idleConnections.addFirst(socket);
            }
            return answer;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }
}

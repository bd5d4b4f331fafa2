package topazvalve.review;

import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: while all order servers are slow, clients leave in bursts, and the sidecar is held up for a moment at each. All
 * that is over when the calm seconds begin.
 */
final class LeavingBurst {
    private static final int SERVERS = 8;
    private static final int SIDECARS = 3;
    private static final int SOCKETS = 256;
    private static final int CLIENTS = SOCKETS / 3;
    private static final int BURSTS = 8;
    private static final int BUSY_MILLIS = 900;
    private static final int HELD_UP_MILLIS = 120;
    private static final int MAX_HELD_UP_MILLIS = 150;
    private static final int MAX_SLOW_MILLIS = 13_000;
    private static final int LEAVE_AFTER_MILLIS = 20;
    private static final int REST_MILLIS = 300;
    private static final long WORK_NANOS = 125_000_000;
    private static final int SLOWER = 2;
    private static final int REST_BEFORE_CALM_MILLIS = 5000;
    private static final int CALM_SECONDS = 20;
    private static final int CALM_REQUESTS_PER_SECOND = 20;
    /** A sidecar may not reject all that it gets for 4 s on end, if that is 15 requests or more. */
    private static final int MIN_REJECTED = 15;

    private final Lab lab;
    private final AtomicInteger ids = new AtomicInteger();
    private final Application.Results[] calmResults = new Application.Results[SIDECARS];
    private volatile boolean slow;
    private volatile boolean limitExceeded;

    private LeavingBurst(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new LeavingBurst(lab).run());
    }

    private int run() throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            addresses.add(new OrderServer("s-" + i, this::handle).address);
        }
        String list = Lab.list(addresses);
        Discovery discovery = new Discovery(list);
        List<SidecarProcess> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Path work = Files.createDirectory(lab.work.resolve("n" + i));
            sidecars.add(SidecarProcess.start(lab.root, work, Lab.config(SOCKETS), discovery.address, list));
        }
        long slowSince = System.nanoTime();
        slow = lab.trouble;
        playBursts(sidecars);
        slow = false;
        long slowMillis = (System.nanoTime() - slowSince) / 1_000_000;
        lab.log("the order servers were slow for " + (lab.trouble ? slowMillis : 0) + " ms");
        limitExceeded |= lab.trouble && slowMillis > MAX_SLOW_MILLIS;
        Thread.sleep(REST_BEFORE_CALM_MILLIS);
        lab.log("calm: " + CALM_REQUESTS_PER_SECOND + " requests a second for each sidecar, no disruption");
        List<Application.Results> results = playCalm(sidecars);
        boolean crashed = sidecars.stream().anyMatch(sidecar -> !sidecar.isAlive());
        for (SidecarProcess sidecar : sidecars) {
            sidecar.kill();
        }
        int rejectingAll = 0;
        for (Application.Results each : results) {
            lab.report("calm: " + each + ", attempts " + each.attempted());
            if (each.sent.get() < MIN_REJECTED) {
                return Lab.COULD_NOT_RUN;
            }
            rejectingAll += each.refused.get() == each.sent.get() && each.attempted() == 0 ? 1 : 0;
        }
        lab.report("sidecars that rejected all for " + CALM_SECONDS + " s: " + rejectingAll + " of " + SIDECARS);
        if (crashed || limitExceeded) {
            return Lab.COULD_NOT_RUN;
        }
        return rejectingAll > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private void playBursts(List<SidecarProcess> sidecars) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (SidecarProcess sidecar : sidecars) {
            threads.add(Lab.thread("bursts", () -> {
                for (int burst = 0; burst < BURSTS; burst++) {
                    new Burst(sidecar).play();
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private List<Application.Results> playCalm(List<SidecarProcess> sidecars) throws InterruptedException {
        List<Application.Results> results = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < sidecars.size(); i++) {
            calmResults[i] = new Application.Results(lab);
            results.add(calmResults[i]);
            Application application = new Application(lab, sidecars.get(i).listen, i, CLIENTS, calmResults[i]);
            threads.add(Lab.thread(
                    "calm", () -> application.sendRequests(CALM_REQUESTS_PER_SECOND, 0, 1, CALM_SECONDS)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return results;
    }

    /** The clients of one sidecar, which send one request after another until all of them leave at once. */
    private final class Burst {
        private final SidecarProcess sidecar;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean busy = true;

        Burst(SidecarProcess sidecar) {
            this.sidecar = sidecar;
        }

        void play() throws Exception {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Lab.thread("client", this::sendRequests));
            }
            Thread.sleep(BUSY_MILLIS);
            busy = false;
            if (lab.trouble) {
                leaveWhileHeldUp();
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(REST_MILLIS);
        }

        private void leaveWhileHeldUp() throws Exception {
            long begin = System.nanoTime();
            sidecar.signal("STOP");
            Thread.sleep(LEAVE_AFTER_MILLIS);
            int left = open.size();
            for (Socket socket : open) {
                socket.close();
            }
            Lab.sleepUntil(begin + HELD_UP_MILLIS * 1_000_000L);
            sidecar.signal("CONT");
            long heldUpMillis = (System.nanoTime() - begin) / 1_000_000;
            limitExceeded |= heldUpMillis > MAX_HELD_UP_MILLIS;
            lab.log(left + " clients of the sidecar at " + sidecar.listen.getPort() + " left; it was held up for "
                    + heldUpMillis + " ms");
        }

        private void sendRequests() throws Exception {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(sidecar.listen, 1000);
                socket.setSoTimeout(5000);
                HttpReader reader = new HttpReader(new BufferedInputStream(socket.getInputStream()));
                open.add(socket);
                while (busy) {
                    String id = String.format("%016x", 0x1eaf0000L + ids.incrementAndGet());
                    lab.log("sent " + id);
                    socket.getOutputStream().write(request(id));
                    int status = reader.readResponse().status;
                    lab.log("answered " + id + " " + status);
                    if (status == 503) {
                        Thread.sleep(100);
                    }
                }
                open.remove(socket);
            }
        }
    }

    private static byte[] request(String id) {
        String text = "POST /api/" + id.substring(14) + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: charge-account\r\nReq-Deadline-Ms: 2500\r\nContent-Length: 1\r\n\r\nx";
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void handle(OrderServer server, OrderServer.Connection connection, HttpReader.Message request) {
        String id = request.header("Req-Id");
        String body = "receipt of " + id;
        for (Application.Results each : calmResults) {
            if (each != null) {
                each.made(id, body);
            }
        }
        lab.log("run " + id + " on " + server.name);
        connection.sendAfter(Lab.response(200, body), slow ? SLOWER * WORK_NANOS : WORK_NANOS);
    }
}

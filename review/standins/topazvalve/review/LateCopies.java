package topazvalve.review;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: order servers send some answers a second time, some milliseconds late. Half of them are in another data centre
 * than the sidecars.
 */
final class LateCopies {
    private static final int SERVERS = 14;
    private static final int SIDECARS = 5;
    private static final int ROUNDS = 3;
    private static final int SOCKETS = 256;
    private static final int MAX_OPEN_REQUESTS = SOCKETS / 3;
    private static final int REQUESTS_PER_SECOND = 300;
    private static final double SWING = 0.4;
    private static final double WAVE_SECONDS = 8;
    private static final int SECONDS = 20;
    /** How long a sidecar runs before the servers begin to send second copies. */
    private static final int QUIET_SECONDS = 9;
    /** The way between two data centres, one way; within one it takes no time here. */
    private static final long CROSS_ZONE_NANOS = 20_000_000;
    /** How long after its answer a server sends the second copy. */
    private static final long COPY_DELAY_NANOS = 15_000_000;

    private static final double COPY_SHARE = 0.05;
    private static final double MIN_WORK_MILLIS = 60;
    private static final double MAX_WORK_MILLIS = 120;

    private final Lab lab;
    private final Application.Results results;
    private final Random random = new Random(42);
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger copiesWithheld = new AtomicInteger();
    /** When the servers begin to send second copies. */
    private volatile long troubleFrom = Long.MAX_VALUE;

    private LateCopies(Lab lab) {
        this.lab = lab;
        this.results = new Application.Results(lab);
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new LateCopies(lab).run());
    }

    private int run() throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            addresses.add(new OrderServer("s-" + i, this::handle).address);
        }
        String list = Lab.list(addresses);
        Discovery discovery = new Discovery(list);
        boolean crashed = false;
        for (int round = 0; round < ROUNDS; round++) {
            crashed |= playRound(round, discovery.address, list);
        }
        lab.report(results + ", second copies " + copies + ", withheld as a next request waited " + copiesWithheld);
        lab.report("served with the answer to another request: " + results.servedWrongly);
        if (crashed || results.served.get() == 0) {
            return Lab.COULD_NOT_RUN;
        }
        return results.servedWrongly.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** Plays one round on new sidecars; returns whether one of them crashed. */
    private boolean playRound(int round, InetSocketAddress discovery, String list) throws Exception {
        List<SidecarProcess> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Path work = Files.createDirectory(lab.work.resolve("n" + round + "-" + i));
            sidecars.add(SidecarProcess.start(lab.root, work, Lab.config(SOCKETS), discovery, list));
        }
        troubleFrom = System.nanoTime() + TimeUnit.SECONDS.toNanos(QUIET_SECONDS);
        List<Thread> loads = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Application application = new Application(
                    lab, sidecars.get(i).listen, SIDECARS * round + i, MAX_OPEN_REQUESTS, results);
            loads.add(Lab.thread(
                    "load", () -> application.sendRequests(REQUESTS_PER_SECOND, SWING, WAVE_SECONDS, SECONDS)));
        }
        for (Thread load : loads) {
            load.join();
        }
        boolean crashed = sidecars.stream().anyMatch(sidecar -> !sidecar.isAlive());
        for (SidecarProcess sidecar : sidecars) {
            sidecar.kill();
        }
        return crashed;
    }

    /** Returns the way to a server, one way: the sidecars are in cardiff, servers with odd numbers in wrexham. */
    private static long oneWayNanos(OrderServer server) {
        int number = Integer.parseInt(server.name.substring(2));
        return number % 2 == 0 ? 0 : CROSS_ZONE_NANOS;
    }

    /** Does the work and answers; what is sent in either direction takes {@link #oneWayNanos}. */
    private void handle(OrderServer server, OrderServer.Connection connection, HttpReader.Message request) {
        String id = request.header("Req-Id");
        String body = "receipt of " + id + " from " + server.name;
        results.made(id, body);
        double workMillis;
        boolean copied;
        synchronized (random) {
            workMillis = MIN_WORK_MILLIS + (MAX_WORK_MILLIS - MIN_WORK_MILLIS) * random.nextDouble();
            copied = lab.trouble && System.nanoTime() > troubleFrom && random.nextDouble() < COPY_SHARE;
        }
        byte[] answer = Lab.response(200, body);
        long oneWayNanos = oneWayNanos(server);
        long answeredAfterNanos = oneWayNanos + (long) (workMillis * 1e6);
        lab.log("run " + id + " on " + server.name);
        connection.lastRequest = request;
        connection.sendAfter(answer, answeredAfterNanos + oneWayNanos);
        if (copied) {
            Lab.TIMERS.schedule(
                    () -> sendCopy(server, connection, request, answer),
                    answeredAfterNanos + COPY_DELAY_NANOS,
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Sends the second copy, unless a next request has arrived at the server, which takes one way. */
    private void sendCopy(
            OrderServer server, OrderServer.Connection connection, HttpReader.Message request, byte[] answer) {
        HttpReader.Message last = connection.lastRequest;
        if (last != request && System.nanoTime() - last.firstByteNanos >= oneWayNanos(server)) {
            copiesWithheld.incrementAndGet();
            return;
        }
        copies.incrementAndGet();
        lab.log("copy of " + request.header("Req-Id") + " leaves " + server.name);
        connection.sendAfter(answer, oneWayNanos(server));
    }
}

package topazvalve.review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Case 3: a sidecar is told to end while long bodies arrive slowly and some order servers hang. */
final class ShutdownUploads {
    private static final int SERVERS = 8;
    private static final int HANGING = 3;
    private static final int SOCKETS = 512;
    private static final int UPLOADS_PER_SECOND = 9;
    private static final int BODY_BYTES = 384_000;
    private static final int BYTES_PER_SECOND = 64_000;
    private static final long WORK_NANOS = 100_000_000;
    private static final long SECOND = 1_000_000_000;
    /** SIGTERM comes this long after the first upload. */
    private static final long TERMINATE_AFTER_NANOS = 8 * SECOND;
    /** The longest deadline, 2.5 s, and 0.7 s, and a little more. */
    private static final long KILL_DELAY_NANOS = 3_250_000_000L;
    /** Requests that came up to 0.7 s after SIGTERM are excused; 0.05 s more for the sockets. */
    private static final long EXCUSED_NANOS = 750_000_000;
    /** A request that came later than this before SIGKILL is not judged. */
    private static final long NOT_JUDGED_NANOS = 500_000_000;

    private final Lab lab;

    private ShutdownUploads(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new ShutdownUploads(lab).run());
    }

    private int run() throws Exception {
        List<OrderServer> servers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new OrderServer("s-" + i, this::handle));
            addresses.add(servers.get(i).address);
        }
        String list = Lab.list(addresses);
        Discovery discovery = new Discovery(list);
        SidecarProcess sidecar = SidecarProcess.start(lab.root, lab.work, Lab.config(SOCKETS), discovery.address, list);
        List<Upload> uploads = new ArrayList<>();
        long begin = System.nanoTime();
        long terminateAt = begin + TERMINATE_AFTER_NANOS;
        for (int i = 0; System.nanoTime() < terminateAt; i++) {
            Upload upload = new Upload(String.format("%016x", 0x5e1ec7L + i), BODY_BYTES, BYTES_PER_SECOND);
            uploads.add(upload);
            Lab.thread("client", () -> upload.run(sidecar.listen));
            Lab.sleepUntil(begin + (i + 1) * SECOND / UPLOADS_PER_SECOND);
        }
        Lab.sleepUntil(terminateAt);
        if (lab.trouble) {
            servers.subList(0, HANGING).forEach(server -> server.hangs = true);
            lab.log("SIGTERM; " + HANGING + " of " + SERVERS + " order servers hang");
            sidecar.terminate();
        }
        Lab.sleepUntil(terminateAt + KILL_DELAY_NANOS);
        boolean endedEarly = !sidecar.isAlive();
        if (!lab.trouble) {
            Thread.sleep(6000);
        }
        sidecar.kill();
        lab.log(endedEarly ? "the sidecar had ended" : "SIGKILL");
        Thread.sleep(300);
        return judge(uploads, terminateAt);
    }

    private void handle(OrderServer server, OrderServer.Connection connection, HttpReader.Message request) {
        String id = request.header("Req-Id");
        lab.log("taken " + id + " by " + server.name + (server.hangs ? ", which hangs" : ""));
        Lab.TIMERS.schedule(
                () -> {
                    if (!server.hangs) {
                        connection.send(Lab.response(200, "receipt of " + id));
                    }
                },
                WORK_NANOS,
                TimeUnit.NANOSECONDS);
    }

    private int judge(List<Upload> uploads, long terminateAt) {
        int judged = 0;
        int lost = 0;
        for (Upload upload : uploads) {
            long cameAfter = upload.lastByteNanos - terminateAt;
            boolean whole = upload.lastByteNanos != 0;
            boolean counts = whole
                    && (!lab.trouble
                            || (cameAfter > EXCUSED_NANOS && cameAfter < KILL_DELAY_NANOS - NOT_JUDGED_NANOS));
            boolean unanswered = counts && upload.answeredNanos == 0;
            judged += counts ? 1 : 0;
            lost += unanswered ? 1 : 0;
            lab.log("request " + upload.id + ": "
                    + (whole ? "came " + cameAfter / 1_000_000 + " ms after SIGTERM" : "not sent whole") + ", "
                    + upload.end
                    + (upload.answeredNanos == 0
                            ? ""
                            : " at " + (upload.answeredNanos - terminateAt) / 1_000_000 + " ms after SIGTERM")
                    + (unanswered ? " LOST" : counts ? "" : " (not judged)"));
        }
        lab.report("requests that came more than 0.7 s after SIGTERM: " + judged + ", without a final answer: " + lost);
        if (judged == 0) {
            return Lab.COULD_NOT_RUN;
        }
        return lost > 0 ? Lab.BROKEN : Lab.HELD;
    }
}

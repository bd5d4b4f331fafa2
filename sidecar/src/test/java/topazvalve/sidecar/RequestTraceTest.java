package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.Test;

/** What an operator can find out about a single request afterwards: the trace, and a counter for each reason. */
class RequestTraceTest {
    private static final long STALL_MILLIS = 130;
    private static final Logger TRACE = Logger.getLogger("trace");

    private static final class Lines extends Handler {
        final BlockingQueue<String> queue = new LinkedBlockingQueue<>();
        private final SimpleFormatter formatter = new SimpleFormatter();

        @Override
        public void publish(LogRecord line) {
            String text = formatter.formatMessage(line);
            // A stall of this process is not part of a request's trace.
            if (!text.startsWith("event loop stalled")) {
                queue.add(text);
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    /** Guards against an incident without an explanation: no line told which attempt used which connection. */
    @Test
    void traceTellsTheConnectionAndOutcomeOfEachAttemptAndTheReasonOfTheAnswer() throws Exception {
        Lines lines = new Lines();
        TRACE.addHandler(lines);
        TRACE.setLevel(Level.FINE);
        try (StubServer server = new StubServer((socket, head) -> StubServer.reset(socket));
                SidecarFixture sidecar = SidecarFixture.startWith(server)) {
            assertEquals(
                    502,
                    sidecar.send(SidecarFixture.postRequest("book", "", "b")).status());
            assertTrue(StubServer.awaitNext(lines.queue).startsWith("request 9b1f: attempt 0 to endpoint "));
            assertEquals("request 9b1f: waits for connection 1, being opened", StubServer.awaitNext(lines.queue));
            assertTrue(StubServer.awaitNext(lines.queue)
                    .matches("request 9b1f: leased connection 1 to .*, earlier attempts 0, idle 0 us"));
            assertTrue(
                    StubServer.awaitNext(lines.queue).matches("connection 1 to .*: closed, SERVER_CLOSED, attempts 1"));
            assertEquals("request 9b1f: attempt ended, RESET, written true", StubServer.awaitNext(lines.queue));
            assertEquals("request 9b1f: failed, ATTEMPT_FAILED", StubServer.awaitNext(lines.queue));
        } finally {
            TRACE.setLevel(null);
            TRACE.removeHandler(lines);
        }
    }

    /** Guards against a 503 that does not tell its reason. */
    @Test
    void metricsCountRejectionsFailuresClosesAndOutcomesByReason() throws Exception {
        try (StubServer server = new StubServer((socket, head) -> StubServer.reset(socket));
                SidecarFixture sidecar = SidecarFixture.startWith(server)) {
            sidecar.send(SidecarFixture.postRequest("book", "", "b"));
            sidecar.send(SidecarFixture.lookRequest("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 0"));
            String metrics = sidecar.loop.submit(() -> sidecar.metricsText()).get();
            for (String line : new String[] {
                "app.failed_for.attempt_failed=1\n",
                "app.rejected_for.deadline=1\n",
                "app.connections_opened=1\n",
                "app.connections_reused=0\n",
                "app.connections_closed.server_closed=1\n",
                "app.attempts_ended.reset=1\n"
            }) {
                assertTrue(metrics.contains(line), line + metrics);
            }
        }
    }

    /** Guards against a stall of the process that leaves no trace in the metrics. */
    @Test
    void metricsTellHowLongTheEventLoopWasStalled() throws Exception {
        try (StubServer server = StubServer.respondingWith("x");
                SidecarFixture sidecar = SidecarFixture.startWith(server)) {
            FrontendTestHelper.blockEventLoop(sidecar, STALL_MILLIS).countDown();
            assertEquals(200, sidecar.send(SidecarFixture.lookRequest("a")).status());
            String metrics = sidecar.loop.submit(() -> sidecar.metricsText()).get();
            long stalledMillis = metrics.lines()
                    .filter(line -> line.startsWith("app.stalled_ms="))
                    .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                    .findFirst()
                    .orElse(0);
            assertTrue(stalledMillis >= STALL_MILLIS, metrics);
        }
    }
}

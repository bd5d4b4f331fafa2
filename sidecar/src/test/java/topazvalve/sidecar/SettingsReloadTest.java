package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import topazvalve.sidecar.config.Config;

/** The requests to which new settings apply when the configuration is reloaded. */
class SettingsReloadTest {
    /**
     * A request in flight keeps its class and its attempt limit. For new requests a changed class applies at once, a
     * removed class is unknown, and the metrics of an added class start at 0.
     */
    @Test
    void reloadedSettingsApplyToNewRequestsOnly() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        StubServer.Responder responder = respondingById(received, release);
        try (StubServer one = new StubServer(responder);
                StubServer two = new StubServer(responder);
                SidecarFixture sidecar = SidecarFixture.startWith(one, two);
                SidecarFixture.TestClient inFlight = new SidecarFixture.TestClient(sidecar.address)) {
            StubServer.write(inFlight.socket, SidecarFixture.lookRequest("open"));
            assertTrue(received.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            Config newConfig = SidecarFixture.config(changedConfig(one, two));
            sidecar.loop.submit(() -> sidecar.proxy.reconfigure(newConfig)).sync();
            assertNewClassesApply(sidecar);
            assertNewAttemptLimitApplies(sidecar);
            release.countDown();
            assertEquals(503, inFlight.readResponse().status(), "still idempotent, as when the request arrived");
            assertEquals(2, attempts("open", one, two), "retried under the old attempt limit");
        }
    }

    private static StubServer.Responder respondingById(CountDownLatch received, CountDownLatch release) {
        StubServer.Responder resetAfterRelease =
                StubServer.afterRelease(release, (socket, head) -> StubServer.reset(socket));
        return (socket, head) -> {
            String id = StubServer.header(head, "Req-Id");
            if (id == null) {
                return StubServer.reply(socket, "200 OK", "", ""); // a health check
            }
            return switch (id) {
                case "open" -> {
                    received.countDown();
                    yield resetAfterRelease.respond(socket, head);
                }
                case "failing", "unsafe" -> StubServer.reply(socket, "500 No", "", "");
                default -> StubServer.reply(socket, "200 OK", "", "x");
            };
        };
    }

    /** Limits the attempts to one, makes the class look non-idempotent, removes hold and adds fresh. */
    private static ObjectNode changedConfig(StubServer one, StubServer two) throws Exception {
        ObjectNode json = SidecarFixture.configJson(one, two);
        json.withObject("/settings/caps").put("tryLimit", 1);
        ArrayNode profiles = json.withObject("/settings").withArray("/profiles");
        ((ObjectNode) profiles.get(0)).put("semantics", "once");
        profiles.remove(1);
        profiles.addObject()
                .put("name", "fresh")
                .put("slo", 1_000_000_000L)
                .put("deadline", 2_000_000_000L)
                .put("semantics", "repeatable");
        return json;
    }

    private static void assertNewClassesApply(SidecarFixture sidecar) throws Exception {
        assertEquals(
                400,
                sidecar.send(SidecarFixture.lookRequest("a")).status(),
                "a non-idempotent class does not allow GET");
        String removedClass = SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\n", "");
        assertEquals(400, sidecar.send(removedClass).status(), "the class was removed");
        assertTrue(metrics(sidecar).contains("app.tries.fresh=0\n"));
    }

    private static void assertNewAttemptLimitApplies(SidecarFixture sidecar) throws Exception {
        // Most requests succeed, since the policy makes no retries while many fail, whatever the limit is.
        for (int i = 0; i < 30; i++) {
            assertEquals(200, sidecar.send(freshRequest("c" + i)).status());
        }
        String nonIdempotent = SidecarFixture.postRequest("look", "", "").replace("9b1f", "unsafe");
        assertEquals(502, sidecar.send(nonIdempotent).status());
        assertEquals(503, sidecar.send(freshRequest("failing")).status());
        assertTrue(metrics(sidecar).contains("app.tries.fresh=31\n"), "one attempt is the limit");
    }

    private static String freshRequest(String id) {
        return SidecarFixture.lookRequest(id).replace("look", "fresh");
    }

    private static String metrics(SidecarFixture sidecar) throws Exception {
        return sidecar.loop
                .submit(() -> sidecar.metrics.text(sidecar.exchanges))
                .get();
    }

    private static long attempts(String id, StubServer one, StubServer two) {
        return Stream.concat(one.receivedHeads.stream(), two.receivedHeads.stream())
                .filter(head -> head.contains("Req-Id: " + id))
                .count();
    }
}

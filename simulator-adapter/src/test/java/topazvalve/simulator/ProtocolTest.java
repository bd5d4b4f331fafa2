package topazvalve.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import topazvalve.policy.Actions;
import topazvalve.policy.Idempotency;
import topazvalve.policy.Settings;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;

/** The simulator's protocol: the layout of events and actions, and the errors of malformed frames. */
class ProtocolTest {
    private static byte[] play(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Main.run(new ByteArrayInputStream(FrameBuilder.join(frames)), out, SidecarPolicy::new);
        return out.toByteArray();
    }

    private static void assertRejected(String part, byte[]... frames) {
        ProtocolException e = assertThrows(ProtocolException.class, () -> play(frames));
        assertTrue(e.getMessage().contains(part), e.getMessage());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0}, play(new FrameBuilder().bytes(5)));
        assertEquals(0, play().length);
    }

    @Test
    void requestIsForwardedToTheListedEndpoint() throws IOException {
        byte[] reply = play(new FrameBuilder()
                .instanceStarted(3, FrameBuilder.SETTINGS)
                .endpointListDefined(0, 0x0100_000a)
                .endpointsUpdated(3, 2, 0)
                .requestReceived(3, 0xf0000001)
                .bytes(1_000_000_000L));
        ByteBuffer in = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(reply.length, in.getInt(4));
        in.position(8);
        assertEquals(11, in.get(), "watches the endpoint list");
        in.position(in.position() + 4 + 3);
        assertEquals(5, in.get(), "sets a timer");
        in.position(in.position() + 4 + 18);
        assertEquals(1, in.get(), "forwards");
        assertEquals(20, in.getInt());
        assertEquals(3, in.getShort());
        assertEquals(0xf0000001, in.getInt());
        assertEquals(0x0100_000a, in.getInt());
        assertEquals(80, in.getShort());
    }

    @Test
    void endpointListNumberMeansItsLatestDefinition() throws IOException {
        byte[] reply = play(new FrameBuilder()
                .instanceStarted(1, FrameBuilder.SETTINGS)
                .endpointListDefined(0, 7)
                .endpointsUpdated(1, 2, 0)
                .endpointListDefined(0, 8)
                .endpointsUpdated(1, 1, 0)
                .requestReceived(1, 9)
                .bytes(1_000_000_000L));
        String hex = HexFormat.of().formatHex(reply);
        assertTrue(hex.contains("09000000" + "08000000" + "5000"), hex);
    }

    @Test
    void restartWithinOneBatchReplacesTheInstance() throws IOException {
        FrameBuilder frame = new FrameBuilder()
                .instanceStarted(1, FrameBuilder.SETTINGS)
                .endpointListDefined(0, 7)
                .endpointsUpdated(1, 2, 0)
                .requestReceived(1, 9);
        frame.instanceStopped(1).instanceStarted(1, FrameBuilder.SETTINGS).endpointsUpdated(1, 2, 0);
        assertTrue(play(frame.bytes(1_000_000_000L)).length > 8);
    }

    @Test
    void malformedFramesAreRejectedWithTheirFault() {
        assertRejected("header cut short", new byte[5]);
        byte[] complete =
                new FrameBuilder().instanceStarted(1, FrameBuilder.SETTINGS).bytes(1);
        assertRejected("ends after", Arrays.copyOf(complete, complete.length - 3));
        assertRejected(
                "unknown event code 99",
                new FrameBuilder().beginRecord(99).endRecord().bytes(1));
        assertRejected(
                "unknown instance 5", new FrameBuilder().requestReceived(5, 1).bytes(1));
        assertRejected(
                "unknown list number 3",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS)
                        .endpointsUpdated(1, 1, 3)
                        .bytes(1));
        assertRejected(
                "form 9 out of range",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS)
                        .endpointListDefined(0)
                        .endpointsUpdated(1, 9, 0)
                        .bytes(1));
        assertRejected(
                "field cut short",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS)
                        .beginRecord(6)
                        .endRecord()
                        .bytes(1));
    }

    @Test
    void settingsAreReadAndMissingOnesAreNamed() {
        Settings settings = new SettingsReader(FrameBuilder.SETTINGS).settings();
        assertEquals(
                Idempotency.NON_IDEMPOTENT, settings.requestClasses().get(0).idempotency());
        assertEquals(2.5, settings.requestClasses().get(0).priorityWeight());
        assertEquals(2, settings.loadReportFields().size());
        assertEquals(50, settings.tenants().get(0).quotaPerSecond());
        assertRejected(
                "setting missing: rules.rampTime",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS.replace("rules.rampTime", "x"))
                        .bytes(1));
        assertRejected(
                "not a number",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS.replace("slo=5", "slo=five"))
                        .bytes(1));
        assertRejected(
                "cold share",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS.replace("coldShare=0.3", "coldShare=7"))
                        .bytes(1));
    }

    @Test
    void everyActionHasItsDocumentedLayout() throws IOException {
        ReplyFrame reply = new ReplyFrame();
        Actions actions = reply.actionsOf(2);
        actions.reject(1, 5);
        actions.fail(1);
        actions.cancelAttempt(1, 3);
        actions.sendHealthCheck(0x0000_0001_0050L);
        actions.closeIdleConnections(1);
        actions.sendGossip(Actions.ALL_PEERS, new byte[] {9});
        actions.log("hi");
        actions.fetchEndpoints();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        ByteBuffer in = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(8, in.getInt());
        assertEquals(out.size(), in.getInt());
        int[] codes = {2, 3, 4, 6, 7, 8, 9, 12};
        int[] lengths = {14, 6, 7, 8, 8, 7, 6, 2};
        for (int i = 0; i < codes.length; i++) {
            assertEquals(codes[i], in.get());
            assertEquals(lengths[i], in.getInt());
            assertEquals(2, in.getShort());
            in.position(in.position() + lengths[i] - 2);
        }
        assertEquals(0, in.remaining());
    }
}

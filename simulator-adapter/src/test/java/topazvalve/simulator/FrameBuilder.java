package topazvalve.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Builds frames byte by byte from the documented layout of the protocol, independently of the code under test. */
final class FrameBuilder {
    /** Settings of one request class and one tenant, with one key that is unknown and must be ignored. */
    static final String SETTINGS = String.join(
            "\n",
            "caps.mayCancel=true",
            "caps.tryLimit=3",
            "caps.parallelTries=true",
            "brand.newKey=what,ever",
            "discovery=subscribe",
            "profiles.count=1",
            "profiles.0.deadline=1000000000",
            "profiles.0.slo=500000000",
            "profiles.0.semantics=once",
            "profiles.0.worth=2.5",
            "parties.count=1",
            "parties.0.portion=1.0",
            "parties.0.quotaRps=50",
            "quantum=5000000",
            "rank=1",
            "replicasOfMe=3",
            "report.fields=rif,lat_ms",
            "rules.answerSlack=20000000",
            "rules.coldShare=0.3",
            "rules.overloadFactor=3.0",
            "rules.rampTime=8000000000",
            "rules.stopSendingWithin=250000000",
            "rules.tipAfter=1500000000");

    /** The kind of an endpoint update with a full snapshot. */
    static final int FULL = 1;
    /** The kind of an endpoint update with the list that was cached before the start. */
    static final int CACHED = 2;

    private static final int HEADER_BYTES = 16;

    private final ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;
    private int recordLengthOffset;

    /** Begins a record, which {@link #endRecord} ends. */
    FrameBuilder beginRecord(int code) {
        body.put((byte) code);
        recordLengthOffset = body.position();
        body.putInt(0);
        recordCount++;
        return this;
    }

    /** Ends a record and writes its length into its header. */
    FrameBuilder endRecord() {
        body.putInt(recordLengthOffset, body.position() - recordLengthOffset - Integer.BYTES);
        return this;
    }

    /** Returns the frame with its header. */
    byte[] build(long nowNanos) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + body.position()).order(ByteOrder.LITTLE_ENDIAN);
        out.putLong(nowNanos).putInt(HEADER_BYTES + body.position()).putInt(recordCount);
        out.put(body.array(), 0, body.position());
        return out.array();
    }

    FrameBuilder instanceStarted(int instanceId, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        beginRecord(1)
                .body
                .putShort((short) instanceId)
                .putLong(42)
                .putInt(text.length)
                .put(text);
        return endRecord();
    }

    /** Starts an instance with a cached list of these endpoints, which gets the number 0. */
    FrameBuilder instanceStartedWithEndpoints(int instanceId, int... addresses) {
        return instanceStarted(instanceId, SETTINGS)
                .endpointListDefined(0, addresses)
                .endpointsUpdated(instanceId, CACHED, 0);
    }

    FrameBuilder instanceStopped(int instanceId) {
        beginRecord(10).body.putShort((short) instanceId);
        return endRecord();
    }

    FrameBuilder endpointListDefined(int number, int... addresses) {
        beginRecord(11).body.putInt(number).putInt(addresses.length);
        for (int address : addresses) {
            body.putInt(address)
                    .putShort((short) 80)
                    .put((byte) 0)
                    .putShort((short) 0)
                    .putShort((short) 0)
                    .put((byte) 1)
                    .putFloat(1)
                    .putLong(0);
        }
        return endRecord();
    }

    FrameBuilder endpointsUpdated(int instanceId, int updateKind, int number) {
        beginRecord(2)
                .body
                .putShort((short) instanceId)
                .put((byte) updateKind)
                .putLong(1)
                .putInt(number);
        return endRecord();
    }

    FrameBuilder requestReceived(int instanceId, int requestId) {
        beginRecord(3)
                .body
                .putShort((short) instanceId)
                .putInt(requestId)
                .put((byte) 0)
                .putShort((short) 0)
                .putLong(0)
                .putLong(1_000_000_000L)
                .putLong(0)
                .put((byte) 0);
        return endRecord();
    }

    /** Returns the concatenation of all frames. */
    static byte[] concatenate(byte[]... frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            out.writeBytes(frame);
        }
        return out.toByteArray();
    }
}

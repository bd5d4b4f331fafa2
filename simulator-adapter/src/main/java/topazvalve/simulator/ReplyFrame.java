package topazvalve.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import topazvalve.policy.Actions;
import topazvalve.policy.AnswerReason;

/**
 * Collects the actions that the events of one frame cause, as a reply frame. Nothing is written before the frame is
 * complete. Numbers are little-endian.
 */
final class ReplyFrame {
    private static final int INITIAL_CAPACITY_BYTES = 1 << 16;
    private static final int COUNT_OFFSET = 0;
    private static final int LENGTH_OFFSET = 4;
    private static final int HEADER_BYTES = 8;
    private static final int RECORD_HEADER_BYTES = Byte.BYTES + Integer.BYTES;

    private static final int INSTANCE_BYTES = Short.BYTES;
    private static final int REQUEST_BYTES = Integer.BYTES;
    private static final int ATTEMPT_BYTES = Byte.BYTES;
    private static final int TIME_BYTES = Long.BYTES;
    private static final int TOKEN_BYTES = Long.BYTES;
    private static final int PEER_BYTES = Short.BYTES;
    private static final int LENGTH_PREFIX_BYTES = Short.BYTES;
    private static final int FLAG_BYTES = Byte.BYTES;

    private byte[] bytes = new byte[INITIAL_CAPACITY_BYTES];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int actionCount;

    /** Creates an empty reply. */
    ReplyFrame() {
        clear();
    }

    /** Returns actions that are added to this reply on behalf of one instance. */
    Actions actionsFor(int instanceId) {
        return new InstanceActions(instanceId);
    }

    private void clear() {
        buffer.position(HEADER_BYTES);
        actionCount = 0;
    }

    /** Writes the frame and starts an empty one. */
    void writeTo(OutputStream out) throws IOException {
        buffer.putInt(COUNT_OFFSET, actionCount);
        buffer.putInt(LENGTH_OFFSET, buffer.position());
        out.write(bytes, 0, buffer.position());
        out.flush();
        clear();
    }

    private void ensureRemaining(int byteCount) {
        if (buffer.remaining() < byteCount) {
            int position = buffer.position();
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, position + byteCount));
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).position(position);
        }
    }

    /** Adds the actions of one instance to the frame. */
    private final class InstanceActions implements Actions {
        private final int instanceId;

        InstanceActions(int instanceId) {
            this.instanceId = instanceId;
        }

        /** Begins a record; the caller adds {@code fieldBytes} bytes of fields after the instance's id. */
        private void beginRecord(ActionType type, int fieldBytes) {
            int recordBytes = INSTANCE_BYTES + fieldBytes;
            ensureRemaining(RECORD_HEADER_BYTES + recordBytes);
            buffer.put(type.code()).putInt(recordBytes).putShort((short) instanceId);
            actionCount++;
        }

        private void putEndpoint(long endpointId) {
            buffer.putInt(EndpointIds.address(endpointId)).putShort(EndpointIds.port(endpointId));
        }

        private void putLengthPrefixed(byte[] data) {
            buffer.putShort((short) data.length).put(data);
        }

        @Override
        public void forward(long request, long endpoint, long timeoutNanos) {
            beginRecord(ActionType.FORWARD, REQUEST_BYTES + EndpointIds.WIRE_BYTES + TIME_BYTES);
            buffer.putInt((int) request);
            putEndpoint(endpoint);
            buffer.putLong(timeoutNanos);
        }

        @Override
        public void reject(long request, long retryAfterNanos, AnswerReason reason) {
            beginRecord(ActionType.REJECT, REQUEST_BYTES + TIME_BYTES);
            buffer.putInt((int) request).putLong(retryAfterNanos);
        }

        @Override
        public void fail(long request, AnswerReason reason) {
            beginRecord(ActionType.FAIL, REQUEST_BYTES);
            buffer.putInt((int) request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            beginRecord(ActionType.CANCEL_ATTEMPT, REQUEST_BYTES + ATTEMPT_BYTES);
            buffer.putInt((int) request).put((byte) attempt);
        }

        @Override
        public void setTimer(long token, long atNanos) {
            beginRecord(ActionType.SET_TIMER, TOKEN_BYTES + TIME_BYTES);
            buffer.putLong(token).putLong(atNanos);
        }

        @Override
        public void sendHealthCheck(long endpoint) {
            beginRecord(ActionType.SEND_HEALTH_CHECK, EndpointIds.WIRE_BYTES);
            putEndpoint(endpoint);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            beginRecord(ActionType.CLOSE_IDLE_CONNECTIONS, EndpointIds.WIRE_BYTES);
            putEndpoint(endpoint);
        }

        @Override
        public void sendGossip(int peer, byte[] message) {
            beginRecord(ActionType.SEND_GOSSIP, PEER_BYTES + LENGTH_PREFIX_BYTES + message.length);
            buffer.putShort((short) peer);
            putLengthPrefixed(message);
        }

        @Override
        public void log(String line) {
            byte[] text = line.getBytes(StandardCharsets.UTF_8);
            beginRecord(ActionType.LOG, LENGTH_PREFIX_BYTES + text.length);
            putLengthPrefixed(text);
        }

        @Override
        public void watchEndpoints(boolean enabled) {
            beginRecord(ActionType.WATCH_ENDPOINTS, FLAG_BYTES);
            buffer.put((byte) (enabled ? 1 : 0));
        }

        @Override
        public void fetchEndpoints() {
            beginRecord(ActionType.FETCH_ENDPOINTS, 0);
        }
    }
}

package topazvalve.core.stream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests what a body buffers and for how long, and that none of its bytes are lost. */
class RequestBodyTest {
    private static final int SEED = 7;

    private final Random random = new Random(SEED);
    private final ByteArrayOutputStream readBytes = new ByteArrayOutputStream();
    private int notReplayableCalls;
    private int spaceAvailableCalls;

    private RequestBody newBody(long budgetBytes) {
        RequestBody body = new RequestBody(new ByteBudget(budgetBytes), -1);
        body.onProgress(() -> {}, () -> notReplayableCalls++);
        body.onSpaceAvailable(() -> spaceAvailableCalls++);
        return body;
    }

    private byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return bytes;
    }

    private void readAll(RequestBody body) {
        for (ByteBuf chunk = body.nextChunk(); chunk != null; chunk = body.nextChunk()) {
            readBytes.writeBytes(ByteBufUtil.getBytes(chunk));
            chunk.release();
        }
    }

    @Test
    void bodyWithinItsQuotaIsReplayable() {
        RequestBody body = newBody(1 << 20);
        byte[] bytes = randomBytes(50_000);
        body.add(Unpooled.wrappedBuffer(bytes, 0, 20_000));
        body.startReading(() -> {});
        readAll(body);
        assertFalse(body.isFullyRead(), "the body is not complete yet");
        body.add(Unpooled.wrappedBuffer(bytes, 20_000, 30_000));
        body.complete();
        for (int attempt = 0; attempt < 3; attempt++) {
            readBytes.reset();
            body.startReading(() -> {});
            readAll(body);
            assertTrue(body.isFullyRead());
            assertArrayEquals(bytes, readBytes.toByteArray());
            assertTrue(body.isReplayable());
        }
        assertEquals(50_000, body.length());
        assertEquals(0, notReplayableCalls);
    }

    /** A body far larger than its quota is read completely, in chunks of any size, and buffered within the quota. */
    @Test
    void bodyAboveItsQuotaIsReadCompletelyAndIsNotReplayable() {
        RequestBody body = newBody(0);
        byte[] bytes = randomBytes(2_000_000);
        int position = 0;
        boolean reading = false;
        while (position < bytes.length) {
            if (body.isFull()) {
                if (!reading) {
                    assertTrue(body.isReplayable(), "bytes were released before they were read");
                    body.startReading(() -> {});
                    reading = true;
                }
                int callsBefore = spaceAvailableCalls;
                readAll(body);
                assertFalse(body.isFull());
                assertTrue(spaceAvailableCalls > callsBefore, "available space was not reported");
            }
            int size = Math.min(1 + random.nextInt(9000), bytes.length - position);
            body.add(Unpooled.wrappedBuffer(bytes, position, size));
            position += size;
        }
        body.complete();
        readAll(body);
        assertTrue(body.isFullyRead());
        assertArrayEquals(bytes, readBytes.toByteArray());
        assertFalse(body.isReplayable());
        assertEquals(1, notReplayableCalls, "notReplayable callbacks");
    }

    /**
     * The quota may grow while nothing is read. Space must then be reported on the next read, even if nothing is
     * released; otherwise a client whose reads are paused waits forever.
     */
    @Test
    void spaceIsReportedWhenTheQuotaHasGrown() {
        ByteBudget budget = new ByteBudget(3 * ByteBudget.MIN_QUOTA_BYTES);
        RequestBody[] others = new RequestBody[3];
        for (int i = 0; i < others.length; i++) {
            others[i] = new RequestBody(budget, -1);
            others[i].add(Unpooled.wrappedBuffer(new byte[1]));
        }
        RequestBody body = new RequestBody(budget, -1);
        body.onSpaceAvailable(() -> spaceAvailableCalls++);
        body.add(Unpooled.wrappedBuffer(randomBytes(20_000)));
        assertTrue(body.isFull());
        for (RequestBody other : others) {
            other.discard();
        }
        assertFalse(body.isFull());
        spaceAvailableCalls = 0;
        body.startReading(() -> {});
        readAll(body);
        assertTrue(spaceAvailableCalls > 0);
        assertTrue(body.isReplayable(), "bytes were released although the quota has grown");
    }

    @Test
    void discardedBodyBuffersNothing() {
        RequestBody body = newBody(0);
        body.add(Unpooled.wrappedBuffer(randomBytes(20_000)));
        assertTrue(body.isFull());
        body.discard();
        body.add(Unpooled.wrappedBuffer(randomBytes(20_000)));
        assertFalse(body.isFull());
        assertNull(body.nextChunk());
        assertFalse(body.isReplayable());
    }

    @Test
    void budgetIsDividedAmongTheBodiesInProgress() {
        ByteBudget budget = new ByteBudget(400_000);
        assertEquals(ByteBudget.MAX_QUOTA_BYTES, budget.quotaBytes());
        RequestBody[] bodies = new RequestBody[4];
        for (int i = 0; i < bodies.length; i++) {
            bodies[i] = new RequestBody(budget, -1);
            bodies[i].add(Unpooled.wrappedBuffer(new byte[1]));
        }
        assertEquals(100_000, budget.quotaBytes());
        for (RequestBody body : bodies) {
            body.discard();
            body.discard();
        }
        assertEquals(ByteBudget.MAX_QUOTA_BYTES, budget.quotaBytes());
    }
}

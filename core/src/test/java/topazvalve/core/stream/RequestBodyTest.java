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

/** What is held of a body, for how long, and that none of it is lost on its way. */
class RequestBodyTest {
    private final Random random = new Random(7);
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private int dropped;
    private int rooms;

    private RequestBody body(long budget) {
        RequestBody body = new RequestBody(new ByteBudget(budget), -1);
        body.onProgress(() -> {}, () -> dropped++);
        body.onSpaceAvailable(() -> rooms++);
        return body;
    }

    private byte[] bytes(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return bytes;
    }

    private void readAll(RequestBody body) {
        for (ByteBuf piece = body.nextChunk(); piece != null; piece = body.nextChunk()) {
            read.writeBytes(ByteBufUtil.getBytes(piece));
            piece.release();
        }
    }

    @Test
    void smallBodyIsReadAsOftenAsItIsAskedFor() {
        RequestBody body = body(1 << 20);
        byte[] bytes = bytes(50_000);
        body.add(Unpooled.wrappedBuffer(bytes, 0, 20_000));
        body.startReading(() -> {});
        readAll(body);
        assertFalse(body.isFullyRead(), "more is to come");
        body.add(Unpooled.wrappedBuffer(bytes, 20_000, 30_000));
        body.complete();
        for (int attempt = 0; attempt < 3; attempt++) {
            read.reset();
            body.startReading(() -> {});
            readAll(body);
            assertTrue(body.isFullyRead());
            assertArrayEquals(bytes, read.toByteArray());
            assertTrue(body.isReplayable());
        }
        assertEquals(50_000, body.length());
        assertEquals(0, dropped);
    }

    /** Far more than may be held goes through in pieces of any size, and no more than a share is kept. */
    @Test
    void largeBodyGoesThroughWithinItsShare() {
        RequestBody body = body(0);
        byte[] bytes = bytes(2_000_000);
        int at = 0;
        boolean reading = false;
        while (at < bytes.length) {
            if (body.isFull()) {
                if (!reading) {
                    assertTrue(body.isReplayable(), "all is there until somebody reads");
                    body.startReading(() -> {});
                    reading = true;
                }
                int before = rooms;
                readAll(body);
                assertFalse(body.isFull());
                assertTrue(rooms > before, "whoever waits for room is told");
            }
            int size = Math.min(1 + random.nextInt(9000), bytes.length - at);
            body.add(Unpooled.wrappedBuffer(bytes, at, size));
            at += size;
        }
        body.complete();
        readAll(body);
        assertTrue(body.isFullyRead());
        assertArrayEquals(bytes, read.toByteArray());
        assertFalse(body.isReplayable());
        assertEquals(1, dropped, "told once");
    }

    /** Its share may grow while nobody reads: whoever waits for room must not wait for ever. */
    @Test
    void roomIsToldAlsoWhenTheShareHasGrown() {
        ByteBudget budget = new ByteBudget(3 * ByteBudget.MIN_QUOTA_BYTES);
        RequestBody[] others = new RequestBody[3];
        for (int i = 0; i < others.length; i++) {
            others[i] = new RequestBody(budget, -1);
            others[i].add(Unpooled.wrappedBuffer(new byte[1]));
        }
        RequestBody body = new RequestBody(budget, -1);
        body.onSpaceAvailable(() -> rooms++);
        body.add(Unpooled.wrappedBuffer(bytes(20_000)));
        assertTrue(body.isFull());
        for (RequestBody other : others) {
            other.discard();
        }
        assertFalse(body.isFull());
        rooms = 0;
        body.startReading(() -> {});
        readAll(body);
        assertTrue(rooms > 0);
        assertTrue(body.isReplayable(), "there was no need to let go of anything");
    }

    @Test
    void discardedBodyHoldsNothingAndTakesNothing() {
        RequestBody body = body(0);
        body.add(Unpooled.wrappedBuffer(bytes(20_000)));
        assertTrue(body.isFull());
        body.discard();
        body.add(Unpooled.wrappedBuffer(bytes(20_000)));
        assertFalse(body.isFull());
        assertNull(body.nextChunk());
        assertFalse(body.isReplayable());
    }

    @Test
    void budgetIsSharedOutAmongTheBodiesUnderWay() {
        ByteBudget budget = new ByteBudget(400_000);
        assertEquals(ByteBudget.MAX_QUOTA_BYTES, budget.quotaBytes());
        RequestBody[] bodies = new RequestBody[4];
        for (int i = 0; i < bodies.length; i++) {
            bodies[i] = new RequestBody(budget, -1);
            bodies[i].add(Unpooled.wrappedBuffer(new byte[1]));
        }
        assertEquals(100_000, budget.quotaBytes());
        for (RequestBody each : bodies) {
            each.discard();
            each.discard();
        }
        assertEquals(ByteBudget.MAX_QUOTA_BYTES, budget.quotaBytes());
    }
}

package topazvalve.discovery.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the buffer of the framer. Splitting is tested through the discovery client, in the sidecar module. */
class JsonObjectFramerTest {
    private final List<Integer> objectLengths = new ArrayList<>();
    private final JsonObjectFramer framer = new JsonObjectFramer();

    private void feed(String text) throws IOException {
        framer.feed(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII), new JsonObjectFramer.Handler() {
            @Override
            public boolean objectReceived(byte[] json) {
                objectLengths.add(json.length);
                return true;
            }

            @Override
            public boolean heartbeatReceived() {
                return true;
            }
        });
    }

    @Test
    void bufferOfALargeSnapshotIsReleasedAfterwards() throws IOException {
        String snapshot = "{\"targets\":\"" + "x".repeat(900_000) + "\"}";
        feed(snapshot.substring(0, 500_000));
        assertTrue(framer.bufferCapacity() >= 500_000 && framer.isObjectOpen());
        feed(snapshot.substring(500_000) + "\n{\"rev\":2}\n");
        assertEquals(List.of(snapshot.length(), 9), objectLengths);
        int capacity = framer.bufferCapacity();
        assertTrue(capacity <= JsonObjectFramer.RETAINED_BUFFER_BYTES, capacity + " bytes are retained");
    }
}

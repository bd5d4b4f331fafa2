package topazvalve.discovery.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LinesTest {
    private final List<Integer> objects = new ArrayList<>();
    private final JsonObjectFramer lines = new JsonObjectFramer();

    private void take(String text) throws IOException {
        lines.take(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII), new JsonObjectFramer.Taker() {
            @Override
            public boolean object(byte[] object) {
                objects.add(object.length);
                return true;
            }

            @Override
            public boolean empty() {
                return true;
            }
        });
    }

    @Test
    void whatHeldAWholeListIsNotKeptForAsLongAsTheWatch() throws IOException {
        String list = "{\"targets\":\"" + "x".repeat(900_000) + "\"}";
        take(list.substring(0, 500_000));
        assertTrue(lines.room() >= 500_000 && lines.open());
        take(list.substring(500_000) + "\n{\"rev\":2}\n");
        assertEquals(List.of(list.length(), 9), objects);
        assertTrue(lines.room() <= JsonObjectFramer.KEPT, lines.room() + " bytes are kept");
    }
}

package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.SourceVersion;

/** Parsing of messages of sources, with any layout of the JSON. */
class SourceReaderTest {
    private static Update read(String text) throws IOException {
        return SourceReader.read(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void entryKeepsAllItsFieldsOnOneLine() throws IOException {
        Update update = read("{\n \"rev\": 4, \"epoch\": 2, \"note\": {\"x\": [1]}, \"all\": true,\n"
                + "\"targets\": [\n  {\"uid\": \"a\",\n \"tags\": {\"uid\": \"inner\",\n"
                + "\"n\": [1.50, null]},\n \"state\": \"DELETED\"}]}");
        assertEquals(new SourceVersion(2, 4), update.version());
        assertTrue(update.fullSnapshot() && update.entries().get(0).removed());
        assertEquals("a", update.entries().get(0).uid());
        assertEquals(
                "{\"uid\":\"a\",\"tags\":{\"uid\":\"inner\",\"n\":[1.50,null]},\"state\":\"DELETED\"}",
                update.entries().get(0).json());
    }

    @Test
    void entryWithoutAValidUidIsSkipped() throws IOException {
        assertEquals(
                1,
                read("{\"rev\":4,\"targets\":[{\"state\":\"SERVING\"},{\"uid\":7}," + "{\"uid\":\"b\"},{\"uid\":\""
                                + "x".repeat(300) + "\"}]}")
                        .entries()
                        .size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "{}",
                "{\"rev\":1}",
                "{\"targets\":[]}",
                "{\"rev\":-1,\"targets\":[]}",
                "{\"rev\":\"1\",\"targets\":[]}",
                "{\"rev\":1.5,\"targets\":[]}",
                "{\"rev\":1,\"targets\":{}}",
                "{\"rev\":1,\"targets\":[1]}",
                "{\"rev\":1,\"targets\":[{\"uid\":\"a\"}"
            })
    void messageThatIsNotAnEndpointListIsRejected(String text) {
        assertThrows(MalformedSourceMessageException.class, () -> read(text));
    }
}

package topazvalve.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.SourceVersion;

/**
 * Parses the JSON messages of a source. An entry is forwarded on one line with all of its fields, including those that
 * the relay does not know; only its {@code uid} and whether it is removed are interpreted.
 */
final class SourceReader {
    private static final Logger LOG = LoggerFactory.getLogger("source");
    private static final int MAX_UID_CHARS = 256;
    private static final int MAX_NESTING_DEPTH = 64;
    private static final int INITIAL_ENTRY_CHARS = 192;
    private static final String REMOVED_STATE = "DELETED";
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private SourceReader() {}

    /**
     * Parses one JSON object in UTF-8, a snapshot or a delta.
     *
     * @throws MalformedSourceMessageException if it is not JSON or not a valid endpoint list
     * @throws IOException if it is not UTF-8
     */
    static Update read(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return readUpdate(parser);
        } catch (JsonProcessingException e) {
            throw new MalformedSourceMessageException(e.getMessage(), e);
        }
    }

    private static Update readUpdate(JsonParser parser) throws IOException {
        long revision = -1;
        long epoch = 0;
        boolean fullSnapshot = false;
        List<Entry> entries = null;
        require(parser.nextToken() == JsonToken.START_OBJECT, "message is not a JSON object");
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "rev" -> revision = readInteger(parser, value);
                case "epoch" -> epoch = readInteger(parser, value);
                case "all" -> fullSnapshot = value == JsonToken.VALUE_TRUE;
                case "targets" -> {
                    require(value == JsonToken.START_ARRAY, "targets is not an array");
                    entries = readEntries(parser);
                }
                default -> parser.skipChildren();
            }
        }
        require(
                revision >= 0 && epoch >= 0 && entries != null,
                "rev or targets is missing, or rev or epoch is negative");
        return new Update(new SourceVersion(epoch, revision), fullSnapshot, entries);
    }

    private static void require(boolean valid, String message) throws MalformedSourceMessageException {
        if (!valid) {
            throw new MalformedSourceMessageException(message);
        }
    }

    private static long readInteger(JsonParser parser, JsonToken value) throws IOException {
        require(value == JsonToken.VALUE_NUMBER_INT, parser.currentName() + " is not an integer");
        return parser.getLongValue();
    }

    private static List<Entry> readEntries(JsonParser parser) throws IOException {
        List<Entry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            Entry entry = readEntry(parser);
            if (isValidUid(entry.uid())) {
                entries.add(entry);
            } else {
                LOG.warn("ignoring entry whose uid is missing or too long: {}", entry.json());
            }
        }
        require(parser.currentToken() == JsonToken.END_ARRAY, "targets contains an entry that is not an object");
        return entries;
    }

    private static boolean isValidUid(String uid) {
        return !uid.isEmpty() && uid.length() <= MAX_UID_CHARS;
    }

    private static Entry readEntry(JsonParser parser) throws IOException {
        StringWriter json = new StringWriter(INITIAL_ENTRY_CHARS);
        String uid = "";
        boolean removed = false;
        try (JsonGenerator generator = FACTORY.createGenerator(json)) {
            generator.writeStartObject();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                generator.writeFieldName(key);
                if (parser.nextToken() == JsonToken.VALUE_STRING) {
                    uid = key.equals("uid") ? parser.getText() : uid;
                    removed |= key.equals("state") && parser.getText().equals(REMOVED_STATE);
                }
                generator.copyCurrentStructureExact(parser);
            }
            generator.writeEndObject();
        }
        return new Entry(uid, removed, json.toString());
    }
}

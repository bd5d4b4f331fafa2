package topazvalve.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
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
 * Reads what a source tells. An entry is passed on with all that it says, known here or not, in one line;
 * only its name and whether it is gone are looked at.
 */
final class SourceReader {
    private static final Logger LOG = LoggerFactory.getLogger("source");
    private static final int LONGEST_NAME = 256;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(64).build())
            .build();

    private SourceReader() {}

    /** An object of a list or a watch; an {@link IOException} says why it is none. */
    static Update read(byte[] text) throws IOException {
        long rev = -1;
        long epoch = 0;
        boolean whole = false;
        List<Entry> entries = null;
        try (JsonParser parser = FACTORY.createParser(text)) {
            require(parser.nextToken() == JsonToken.START_OBJECT, "no object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (key) {
                    case "rev" -> rev = whole(parser, value);
                    case "epoch" -> epoch = whole(parser, value);
                    case "all" -> whole = value == JsonToken.VALUE_TRUE;
                    case "targets" -> {
                        require(value == JsonToken.START_ARRAY, "targets is no list");
                        entries = entries(parser);
                    }
                    default -> parser.skipChildren();
                }
            }
        }
        require(rev >= 0 && epoch >= 0 && entries != null, "a line that is no list");
        return new Update(new SourceVersion(epoch, rev), whole, entries);
    }

    private static void require(boolean holds, String otherwise) throws IOException {
        if (!holds) {
            throw new IOException(otherwise);
        }
    }

    private static long whole(JsonParser parser, JsonToken value) throws IOException {
        require(value == JsonToken.VALUE_NUMBER_INT, parser.currentName() + " is no whole number");
        return parser.getLongValue();
    }

    private static List<Entry> entries(JsonParser parser) throws IOException {
        List<Entry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            Entry entry = entry(parser);
            if (entry.uid().isEmpty() || entry.uid().length() > LONGEST_NAME) {
                LOG.warn("entry passed over: {}", entry.json());
            } else {
                entries.add(entry);
            }
        }
        require(parser.currentToken() == JsonToken.END_ARRAY, "an entry that is no object");
        return entries;
    }

    private static Entry entry(JsonParser parser) throws IOException {
        StringWriter line = new StringWriter(192);
        String uid = "";
        boolean gone = false;
        try (JsonGenerator generator = FACTORY.createGenerator(line)) {
            generator.writeStartObject();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                generator.writeFieldName(key);
                if (parser.nextToken() == JsonToken.VALUE_STRING) {
                    uid = key.equals("uid") ? parser.getText() : uid;
                    gone |= key.equals("state") && parser.getText().equals("DELETED");
                }
                generator.copyCurrentStructureExact(parser);
            }
            generator.writeEndObject();
        }
        return new Entry(uid, gone, line.toString());
    }
}

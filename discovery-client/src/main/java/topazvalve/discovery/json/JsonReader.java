package topazvalve.discovery.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into {@link JsonNode}s by Jackson's streaming parser. Its object mapper would do as well, but its
 * start costs a sidecar 70 ms of CPU and 700 classes.
 */
public final class JsonReader {
    private static final int DEEPEST = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build())
            .build();

    private JsonReader() {}

    /** The first value of a text; the node that stands for nothing where there is none. */
    public static JsonNode read(String text) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return first(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException("a text in memory", e);
        }
    }

    /** The first value of a text in UTF-8; the node that stands for nothing where there is none. */
    public static JsonNode read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return first(parser);
        }
    }

    /** A text in UTF-8 that holds one value and nothing more, with no member given twice. */
    public static JsonNode readStrictly(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION.mappedFeature());
            JsonNode node = first(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "more follows the end of the value");
            }
            return node;
        }
    }

    private static JsonNode first(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? JsonNode.MISSING : value(parser);
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> new JsonNode(parser.getText());
            case VALUE_NUMBER_INT -> whole(parser);
            case VALUE_NUMBER_FLOAT -> new JsonNode(parser.getDoubleValue());
            case VALUE_TRUE -> new JsonNode(true);
            case VALUE_FALSE -> new JsonNode(false);
            case VALUE_NULL -> JsonNode.NULL;
            default -> throw new JsonParseException(parser, "not a value");
        };
    }

    private static JsonNode whole(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? new JsonNode(parser.getDoubleValue())
                : new JsonNode(parser.getLongValue());
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        Map<String, JsonNode> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            members.put(key, value(parser));
        }
        return new JsonNode(members);
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        List<JsonNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser));
        }
        return new JsonNode(items);
    }
}

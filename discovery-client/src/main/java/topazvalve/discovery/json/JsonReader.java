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
 * Parses JSON into {@link JsonNode}s with Jackson's streaming parser. Jackson's object mapper is not used, because it
 * adds 70 ms of CPU time and 700 loaded classes to the start of a sidecar.
 */
public final class JsonReader {
    private static final int MAX_NESTING_DEPTH = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private JsonReader() {}

    /**
     * Parses the first value of a text and ignores the rest. An empty text gives the missing node.
     *
     * @throws JsonProcessingException if the value is not valid JSON or is nested too deeply
     */
    public static JsonNode read(String json) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return parseFirst(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException("unexpected I/O error while reading a string", e);
        }
    }

    /**
     * Parses the first value of a UTF-8 text and ignores the rest. An empty text gives the missing node.
     *
     * @throws IOException if the value is not valid JSON or is nested too deeply
     */
    public static JsonNode read(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return parseFirst(parser);
        }
    }

    /**
     * Parses a UTF-8 text that must consist of exactly one value. An empty text gives the missing node.
     *
     * @throws IOException if the text is not valid JSON, is nested too deeply, continues after the value, or an object
     *     has duplicate member names
     */
    public static JsonNode readStrictly(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            parser.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION.mappedFeature());
            JsonNode node = parseFirst(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "unexpected text after the value");
            }
            return node;
        }
    }

    private static JsonNode parseFirst(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? JsonNode.MISSING : parseValue(parser);
    }

    private static JsonNode parseValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> parseObject(parser);
            case START_ARRAY -> parseArray(parser);
            case VALUE_STRING -> new JsonNode(parser.getText());
            case VALUE_NUMBER_INT -> parseInteger(parser);
            case VALUE_NUMBER_FLOAT -> new JsonNode(parser.getDoubleValue());
            case VALUE_TRUE -> new JsonNode(true);
            case VALUE_FALSE -> new JsonNode(false);
            case VALUE_NULL -> JsonNode.NULL;
            default -> throw new JsonParseException(parser, "not a JSON value");
        };
    }

    /** Parses an integer, as a floating-point number if it does not fit into 64 bits. */
    private static JsonNode parseInteger(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? new JsonNode(parser.getDoubleValue())
                : new JsonNode(parser.getLongValue());
    }

    private static JsonNode parseObject(JsonParser parser) throws IOException {
        Map<String, JsonNode> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            members.put(key, parseValue(parser));
        }
        return new JsonNode(members);
    }

    private static JsonNode parseArray(JsonParser parser) throws IOException {
        List<JsonNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(parseValue(parser));
        }
        return new JsonNode(items);
    }
}

package topazvalve.sidecar.json;

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
 * Reads JSON into {@link Node}s by Jackson's streaming parser. Its object mapper would do as well, but its
 * start costs a sidecar 70 ms of CPU and 700 classes.
 */
public final class Json {
    private static final int DEEPEST = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build())
            .build();

    private Json() {}

    /** The first value of a text; the node that stands for nothing where there is none. */
    public static Node read(String text) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return first(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException("a text in memory", e);
        }
    }

    /** The first value of a text in UTF-8; the node that stands for nothing where there is none. */
    public static Node read(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return first(parser);
        }
    }

    /** A text in UTF-8 that holds one value and nothing more, with no member given twice. */
    public static Node readStrictly(byte[] text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION.mappedFeature());
            Node node = first(parser);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "more follows the end of the value");
            }
            return node;
        }
    }

    private static Node first(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? Node.MISSING : value(parser);
    }

    private static Node value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> new Node(parser.getText());
            case VALUE_NUMBER_INT -> whole(parser);
            case VALUE_NUMBER_FLOAT -> new Node(parser.getDoubleValue());
            case VALUE_TRUE -> new Node(true);
            case VALUE_FALSE -> new Node(false);
            case VALUE_NULL -> Node.NULL;
            default -> throw new JsonParseException(parser, "not a value");
        };
    }

    private static Node whole(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? new Node(parser.getDoubleValue())
                : new Node(parser.getLongValue());
    }

    private static Node object(JsonParser parser) throws IOException {
        Map<String, Node> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            members.put(key, value(parser));
        }
        return new Node(members);
    }

    private static Node array(JsonParser parser) throws IOException {
        List<Node> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(parser));
        }
        return new Node(items);
    }
}

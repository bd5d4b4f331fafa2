package topazvalve.discovery.json;

import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A value of JSON (RFC 8259) that can't change: an object, a list, a text, a number (whole ones as
 * {@link Long}, others as {@link Double}), true, false, null, or nothing where a path leads nowhere. Reading
 * never fails; what is not of the kind asked for gives the kind's default.
 */
public final class JsonNode implements Iterable<JsonNode> {
    static final JsonNode MISSING = new JsonNode(null);
    static final JsonNode NULL = new JsonNode(Void.class);

    private final Object value;

    /** Of a map of nodes, a list of nodes, a text, a number or a truth value. */
    JsonNode(Object value) {
        this.value = value;
    }

    private Map<?, ?> members() {
        return value instanceof Map<?, ?> map ? map : Map.of();
    }

    private List<?> items() {
        return value instanceof List<?> list ? list : List.of();
    }

    /** The member of an object, or the node that stands for nothing. */
    public JsonNode path(String key) {
        return members().get(key) instanceof JsonNode member ? member : MISSING;
    }

    /** Whether an object has a member of this name, be it null. */
    public boolean has(String key) {
        return members().containsKey(key);
    }

    /** Whether an object has a member of this name that is not null. */
    public boolean hasNonNull(String key) {
        return has(key) && !path(key).isNull();
    }

    /** The names of an object's members, in the order that they were written in. */
    @SuppressWarnings("unchecked")
    public Set<String> keys() {
        return Collections.unmodifiableSet((Set<String>) members().keySet());
    }

    public boolean isObject() {
        return value instanceof Map<?, ?>;
    }

    public boolean isArray() {
        return value instanceof List<?>;
    }

    /** Whether it is an object or a list, be it empty. */
    public boolean isContainer() {
        return isObject() || isArray();
    }

    public boolean isNumber() {
        return value instanceof Number;
    }

    /** Whether it is a number written without fraction and exponent that fits 64 bits. */
    public boolean isWhole() {
        return value instanceof Long;
    }

    public boolean isNull() {
        return value == Void.class;
    }

    /** How many entries a list or members an object has. */
    public int size() {
        return isObject() ? members().size() : items().size();
    }

    /** A list's entries, or an object's values. */
    @Override
    @SuppressWarnings("unchecked")
    public Iterator<JsonNode> iterator() {
        return (Iterator<JsonNode>) (isObject() ? members().values() : items()).iterator();
    }

    /** A text, number or truth value as text; empty for all else. */
    public String asText() {
        return asText("");
    }

    /** A text, number or truth value as text. */
    public String asText(String otherwise) {
        return value == null || isNull() || isObject() || isArray() ? otherwise : value.toString();
    }

    /** A number's value, cut to a whole one; 0 for all else. */
    public long asLong() {
        return asLong(0);
    }

    /** A number's value, cut to a whole one. */
    public long asLong(long otherwise) {
        return value instanceof Number number ? number.longValue() : otherwise;
    }

    /** A number's value. */
    public double asDouble(double otherwise) {
        return value instanceof Number number ? number.doubleValue() : otherwise;
    }

    /** Whether it is true. */
    public boolean asBoolean() {
        return Boolean.TRUE.equals(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof JsonNode node && (value == null ? node.value == null : value.equals(node.value));
    }

    @Override
    public int hashCode() {
        return value == null ? 0 : value.hashCode();
    }

    /** For log lines: texts are not quoted. */
    @Override
    public String toString() {
        return isNull() ? "null" : String.valueOf(value);
    }
}

package topazvalve.discovery.json;

import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An immutable JSON value (RFC 8259): an object, an array, a string, a number, a boolean or null. The missing node
 * represents a value that does not exist. Accessors never fail: they return a default if the value has another
 * type.
 */
public final class JsonNode implements Iterable<JsonNode> {
    /** The missing node. */
    static final JsonNode MISSING = new JsonNode(null);
    /** JSON's null. */
    static final JsonNode NULL = new JsonNode(Void.class);

    private final Object value;

    /** Wraps a map of nodes, a list of nodes, a {@link String}, {@link Long}, {@link Double} or {@link Boolean}. */
    JsonNode(Object value) {
        this.value = value;
    }

    private Map<?, ?> members() {
        return value instanceof Map<?, ?> map ? map : Map.of();
    }

    private List<?> items() {
        return value instanceof List<?> list ? list : List.of();
    }

    /** Returns a member of an object; the missing node if it does not exist or this is not an object. */
    public JsonNode path(String key) {
        return members().get(key) instanceof JsonNode member ? member : MISSING;
    }

    /** Returns whether this is an object with a member of this name, even if its value is null. */
    public boolean has(String key) {
        return members().containsKey(key);
    }

    /** Returns whether this is an object with a member of this name that is not null. */
    public boolean hasNonNull(String key) {
        return has(key) && !path(key).isNull();
    }

    /** Returns the names of an object's members in document order; empty if this is not an object. */
    @SuppressWarnings("unchecked") // the keys of an object are strings
    public Set<String> keys() {
        return Collections.unmodifiableSet((Set<String>) members().keySet());
    }

    /** Returns whether this is an object. */
    public boolean isObject() {
        return value instanceof Map<?, ?>;
    }

    /** Returns whether this is an array. */
    public boolean isArray() {
        return value instanceof List<?>;
    }

    /** Returns whether this is an object or an array. */
    public boolean isContainer() {
        return isObject() || isArray();
    }

    /** Returns whether this is a number. */
    public boolean isNumber() {
        return value instanceof Number;
    }

    /** Returns whether this is a number without fraction or exponent that fits into 64 bits. */
    public boolean isLong() {
        return value instanceof Long;
    }

    /** Returns whether this is JSON's null; false for the missing node. */
    public boolean isNull() {
        return value == Void.class;
    }

    /** Returns the number of elements of an array or members of an object; 0 for other values. */
    public int size() {
        return isObject() ? members().size() : items().size();
    }

    /** Iterates over the elements of an array or the members' values of an object. */
    @Override
    @SuppressWarnings("unchecked") // all members and items are nodes
    public Iterator<JsonNode> iterator() {
        return (Iterator<JsonNode>) (isObject() ? members().values() : items()).iterator();
    }

    /** Returns a string, number or boolean as text; empty for other values. */
    public String asText() {
        return asText("");
    }

    /** Returns a string, number or boolean as text; the default for other values. */
    public String asText(String defaultValue) {
        return value == null || isNull() || isObject() || isArray() ? defaultValue : value.toString();
    }

    /** Returns a number truncated to an integer; 0 for other values. */
    public long asLong() {
        return asLong(0);
    }

    /** Returns a number truncated to an integer; the default for other values. */
    public long asLong(long defaultValue) {
        return value instanceof Number number ? number.longValue() : defaultValue;
    }

    /** Returns a number; the default for other values. */
    public double asDouble(double defaultValue) {
        return value instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns true if this is JSON's true; false for all other values. */
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

    /** Returns the value for a log line, with strings unquoted; this is not JSON. */
    @Override
    public String toString() {
        return isNull() ? "null" : String.valueOf(value);
    }
}

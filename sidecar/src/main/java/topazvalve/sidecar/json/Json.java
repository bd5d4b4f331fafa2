package topazvalve.sidecar.json;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads JSON trees. */
public final class Json {
    /** The mapper for all; making one is slow before the JVM is warm. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() { }
}

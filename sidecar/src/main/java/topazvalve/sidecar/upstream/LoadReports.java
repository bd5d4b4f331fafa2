package topazvalve.sidecar.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;

/**
 * The load reports of a deployment: the names of their values, in the order that the settings give, and how
 * one is read. A report that can't be read is none; it spoils nothing else.
 */
final class LoadReports {
    static final String PATH = "/metrics/load";
    static final float[] NONE = {};

    private List<String> fields = List.of();

    /** From now on these are the names. */
    void take(List<String> names) {
        fields = names;
    }

    /** Where a probe asks: for the report where the deployment has reports, else for the health. */
    String path() {
        return fields.isEmpty() ? "/alive" : PATH;
    }

    /** The load report in the order of the settings' fields; empty where there is none that can be read. */
    float[] read(HttpResponse response, String probed) {
        String text = response.headers().get("Srv-Load");
        if (text == null) {
            text = probed;
        }
        if (text == null || fields.isEmpty()) {
            return NONE;
        }
        try {
            JsonNode node = JsonReader.read(text);
            float[] values = new float[fields.size()];
            for (int i = 0; i < values.length; i++) {
                JsonNode value = node.path(fields.get(i));
                if (!value.isNumber()) {
                    return NONE;
                }
                values[i] = (float) value.asDouble(-1);
                if (!(values[i] >= 0 && values[i] < Float.POSITIVE_INFINITY)) {
                    return NONE;
                }
            }
            return values;
        } catch (JsonProcessingException e) {
            return NONE;
        }
    }
}

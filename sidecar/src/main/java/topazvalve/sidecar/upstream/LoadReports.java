package topazvalve.sidecar.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import topazvalve.core.pool.Attempt;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;

/**
 * Reads the load reports of a deployment, whose fields and their order are given by the settings. A report that
 * can't be read counts as absent and does not affect the response that carried it.
 */
final class LoadReports {
    /** Where a server answers with its load report. */
    static final String PATH = "/metrics/load";

    private static final String HEALTH_PATH = "/alive";
    private static final String LOAD_HEADER = "Srv-Load";

    private List<String> fields = List.of();

    /** Sets the names of the fields, in the order in which the policy expects their values. */
    void setFields(List<String> names) {
        fields = names;
    }

    /** The path of a health check: that of the load report where the deployment has reports. */
    String healthCheckPath() {
        return fields.isEmpty() ? HEALTH_PATH : PATH;
    }

    /**
     * Reads the load report that came with a response.
     *
     * @param response whose header is read first
     * @param healthCheckBody the body of a health check's response, read where the header is missing; may be null
     * @return one value for each field, in their order; empty if there is no report that can be read
     */
    float[] read(HttpResponse response, String healthCheckBody) {
        String header = response.headers().get(LOAD_HEADER);
        String report = header == null ? healthCheckBody : header;
        if (report == null || fields.isEmpty()) {
            return Attempt.NO_LOAD_REPORT;
        }
        try {
            return values(JsonReader.read(report));
        } catch (JsonProcessingException e) {
            return Attempt.NO_LOAD_REPORT;
        }
    }

    private float[] values(JsonNode report) {
        float[] values = new float[fields.size()];
        for (int i = 0; i < values.length; i++) {
            JsonNode value = report.path(fields.get(i));
            if (!value.isNumber()) {
                return Attempt.NO_LOAD_REPORT;
            }
            values[i] = (float) value.asDouble(-1);
            if (!(values[i] >= 0 && values[i] < Float.POSITIVE_INFINITY)) {
                return Attempt.NO_LOAD_REPORT;
            }
        }
        return values;
    }
}

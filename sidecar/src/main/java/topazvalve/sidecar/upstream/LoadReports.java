package topazvalve.sidecar.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import topazvalve.core.pool.Attempt;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;

/**
 * Reads the load reports of a deployment's servers. The settings give the fields of a report and their order. An
 * invalid report counts as absent and does not affect the response that contained it.
 */
final class LoadReports {
    /** The path at which a server returns its load report. */
    static final String PATH = "/metrics/load";

    private static final String HEALTH_PATH = "/alive";
    private static final String LOAD_HEADER = "Srv-Load";

    private List<String> fields = List.of();

    /** Sets the names of the fields, in the order in which the policy expects their values. */
    void setFields(List<String> names) {
        fields = names;
    }

    /** Returns the path of a health check, which is that of the load report if the deployment has load reports. */
    String healthCheckPath() {
        return fields.isEmpty() ? HEALTH_PATH : PATH;
    }

    /**
     * Reads the load report in a response.
     *
     * @param response the response, whose header takes precedence
     * @param healthCheckBody the response body of a health check, used if the header is missing; may be null
     * @return one value for each field, in their order; empty if there is no valid report
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

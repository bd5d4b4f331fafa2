package topazvalve.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads an instance's settings, for every host: parses lines of the form path=value into {@link Settings}, and gives
 * access to values that only hosts need, such as names and connection limits. Unknown keys are ignored. Keys that have
 * other names than the record components ({@code slo}, {@code worth}, {@code semantics}) are mapped here.
 */
public final class SettingsReader {
    private final Map<String, String> values = new HashMap<>();

    /** Parses one path=value per line. Lines without {@code =} are ignored; the last value of a path counts. */
    public SettingsReader(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(
                        line.substring(0, equals).trim(),
                        line.substring(equals + 1).trim());
            }
        }
    }

    /**
     * Returns the settings of an instance.
     *
     * @throws InvalidSettingException if a setting is missing, is malformed or is out of bounds
     */
    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        int classCount = (int) required("profiles.count");
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass("profiles." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = (int) number("parties.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String path = "parties." + i + ".";
            tenants.add(new Tenant(number(path + "portion", 0), number(path + "quotaRps", 0)));
        }
        return new Settings(
                (int) number("rank", 0),
                (int) number("replicasOfMe", 1),
                (int) number("zone", 0),
                (long) number("quantum", 0),
                choice(DiscoveryMode.class, "discovery", DiscoveryMode.AUTOMATIC),
                choice(WeightKind.class, "weights", WeightKind.SILENT),
                classes,
                tenants,
                capabilities(),
                limits(),
                list("report.fields"),
                new Costs(number("charges.probe", 0), number("charges.peer", 0)),
                "work".equals(values.get("valueBy")),
                number("overShareWorth", 1));
    }

    private RequestClass requestClass(String path) {
        Idempotency idempotency = idempotency(path + "semantics");
        return new RequestClass(
                (long) required(path + "slo"),
                number(path + "aimStretch", 0),
                (long) required(path + "deadline"),
                number(path + "worth", 1),
                number(path + "lateShare", 0),
                idempotency,
                choice(KeyScope.class, path + "keyScope", KeyScope.CELL),
                (long) number(path + "keyTtl", 0),
                flag(path + "stream"));
    }

    private Capabilities capabilities() {
        return new Capabilities(
                flag("caps.mayCancel"),
                flag("caps.mayProbe"),
                flag("caps.peers"),
                flag("caps.parallelTries"),
                flag("caps.retryAfter"),
                (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0),
                (long) number("caps.connectTimeout", 0));
    }

    private Limits limits() {
        return new Limits(
                (long) required("rules.answerSlack"),
                (long) number("rules.askWithin", 0),
                (long) required("rules.stopSendingWithin"),
                required("rules.coldShare"),
                (long) required("rules.rampTime"),
                required("rules.overloadFactor"),
                (long) required("rules.tipAfter"));
    }

    /** Returns the names of a list of objects, in order; the name of an object without one is its index. */
    public List<String> names(String path) {
        List<String> names = new ArrayList<>();
        int count = (int) number(path + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(path + "." + i + ".name", Integer.toString(i)));
        }
        return names;
    }

    /** Returns the comma-separated values of a key; empty if it is absent. */
    public List<String> list(String key) {
        String text = values.getOrDefault(key, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private double required(String key) {
        if (!values.containsKey(key)) {
            throw new InvalidSettingException(key, "setting missing: " + key);
        }
        return number(key, 0);
    }

    /**
     * Returns a number, or {@code defaultValue} if the key is missing or empty.
     *
     * @throws InvalidSettingException if the value is not a number
     */
    public double number(String key, double defaultValue) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new InvalidSettingException(key, "setting is not a number: " + key + "=" + text);
        }
    }

    private Idempotency idempotency(String key) {
        String text = values.get(key);
        if (text == null) {
            throw new InvalidSettingException(key, "setting missing: " + key);
        }
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new InvalidSettingException(key, "setting has an unknown value: " + key + "=" + text);
        };
    }

    private <E extends Enum<E>> E choice(Class<E> type, String key, E defaultValue) {
        String text = values.get(key);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingException(key, "setting has an unknown value: " + key + "=" + text);
        }
    }
}

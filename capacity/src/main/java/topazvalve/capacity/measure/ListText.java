package topazvalve.capacity.measure;

import java.util.Locale;

/** Lists and changes as discovery writes them, with servers that are nowhere: nothing is sent to them. */
final class ListText {
    private ListText() {}

    /** All servers, in one line, with the one that comes and goes or without. */
    static String whole(long rev, int servers, boolean more) {
        StringBuilder text =
                new StringBuilder(servers * 150).append("{\"rev\":").append(rev).append(",\"all\":true,\"targets\":[");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",").append(entry("s-", i, "SERVING"));
        }
        if (more) {
            text.append(',').append(entry("x-", 0, "SERVING"));
        }
        return text.append("]}\n").toString();
    }

    /** A change of some servers beside those of the whole list, which come or go. */
    static String change(long rev, int entries, boolean come) {
        StringBuilder text =
                new StringBuilder(entries * 150).append("{\"rev\":").append(rev).append(",\"all\":false,\"targets\":[");
        for (int i = 0; i < entries; i++) {
            text.append(i == 0 ? "" : ",").append(entry("x-", i, come ? "SERVING" : "DELETED"));
        }
        return text.append("]}\n").toString();
    }

    private static String entry(String prefix, int number, String state) {
        return String.format(
                Locale.ROOT,
                "{\"uid\":\"%s%08x\",\"endpoint\":\"127.1.%d.%d:9\",\"az\":\"a\","
                        + "\"model\":\"m\",\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}",
                prefix,
                number,
                number / 250,
                1 + number % 250,
                number / 8,
                state);
    }
}

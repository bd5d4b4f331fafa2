import java.util.ArrayList;
import java.util.List;

/** The configuration of a sidecar in a small deployment, in the platform's form. */
final class Settings {
    String name = "n1";
    final int listenPort = Bed.freePort();
    final int adminPort = Bed.freePort();
    int discoveryPort;
    String seed = "8c1f30d27a5be964";
    String discoveryMode = "subscribe";
    int memoryMegabytes = 192;
    int sockets = 1024;
    int tryLimit = 4;
    final List<String> profiles = new ArrayList<>();
    String known = "{\"rev\":1,\"all\":true,\"targets\":[]}";

    /** Adds a request class; {@code semantics} is repeatable, once, by_key:cell, by_key:zone or by_key:all. */
    Settings profile(String profileName, String semantics, int sloMillis, int deadlineMillis) {
        return profile(profileName, semantics, sloMillis, deadlineMillis, 5000);
    }

    Settings profile(String profileName, String semantics, int sloMillis, int deadlineMillis, int ttlMillis) {
        String[] parts = semantics.split(":");
        String key = parts.length == 2 ? ",\"keyScope\":\"" + parts[1] + "\",\"keyTtl\":" + ttlMillis + "000000" : "";
        profiles.add("{\"name\":\"" + profileName + "\",\"semantics\":\"" + parts[0] + "\"" + key + ",\"slo\":"
                + sloMillis + "000000,\"deadline\":" + deadlineMillis
                + "000000,\"stream\":false,\"lateShare\":0.0,\"worth\":2.0}");
        return this;
    }

    String toJson() {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"admin\":\"127.0.0.1:" + adminPort
                + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"" + seed + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMegabytes + ",\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":{"
                + "\"discovery\":\"" + discoveryMode + "\",\"quantum\":5000000,\"zone\":0,"
                + "\"zones\":[\"cardiff\",\"wrexham\"],\"kinds\":[\"fast-2core\",\"slow-2core\"],"
                + "\"report\":{\"how\":\"silent\",\"fields\":[]},\"rank\":0,\"replicasOfMe\":1,"
                + "\"caps\":{\"tryLimit\":" + tryLimit + ",\"connectTimeout\":200000000,\"connIdle\":5000000000,"
                + "\"maxOpen\":28387,\"mayCancel\":true,\"mayProbe\":false,\"parallelTries\":true,\"peers\":false,"
                + "\"retryAfter\":true,\"maxRetryAfter\":2000000000,\"streamsPerConn\":1},"
                + "\"rules\":{\"answerSlack\":20000000,\"askWithin\":10000000000,\"coldShare\":0.13,"
                + "\"overloadFactor\":4.0,\"rampTime\":21000000000,\"stopSendingWithin\":500000000,"
                + "\"tipAfter\":3000000000},"
                + "\"profiles\":[" + String.join(",", profiles) + "]}}";
    }
}

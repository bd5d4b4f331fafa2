package topazvalve.simulation.virtual;

import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;

/** A scenario of a few seconds with a request class of each repeatability, to which tests add faults. */
final class SmallScenario {
    private static final String BASE = """
            name = "small"
            length = "16s"
            [fleet]
            servers = 6
            instances = 3
            zones = ["a", "b"]
            pod_size = 2
            [load]
            rate = 60
            keys = 50
            [network]
            cross_zone = "5ms"
            [discovery]
            notice_s = 0.5
            silent_notice_s = 3
            [clients]
            retries = 0.3
            impatient = 0.02
            [[machine]]
            name = "m"
            cores = 2
            speed = [1, 1.4]
            cold_share = 0.2
            cold_time = "10s"
            connection_cost = "1ms"
            idle_close = "3s"
            [[class]]
            name = "look"
            work = "20ms"
            aim = "200ms"
            deadline = "1s"
            repeats = "free"
            [[class]]
            name = "book"
            work = "30ms"
            aim = "300ms"
            deadline = "1s"
            repeats = "keyed"
            scope = "pod"
            window = "3s"
            [[class]]
            name = "charge"
            work = "30ms"
            aim = "300ms"
            deadline = "1500ms"
            repeats = "never"
            """;
    static final String FAULTS = fault("silent", 2, 4, 0.2)
            + fault("drain", 4, 4, 0.2)
            + fault("restart", 7, 1, 0.4)
            + fault("vanish", 10, 3, 0.2)
            + fault("instance-restart", 9, 1, 0.4);

    private SmallScenario() {}

    static String fault(String kind, int start, int length, double share) {
        return "[[fault]]\nkind = \"" + kind + "\"\nstart = \"" + start + "s\"\nlength = \"" + length + "s\"\nshare = "
                + share + "\n";
    }

    static Scenario with(String faults) {
        return ScenarioFile.parse("small.toml", BASE + faults);
    }
}

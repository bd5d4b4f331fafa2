package topazvalve.capacity.measure;

import java.nio.file.Path;
import java.util.List;

/** Helpers for starting the measured processes. */
final class ChildProcess {
    /** JVM options of the processes that serve endpoint lists, identical for all so that results are comparable. */
    static final List<String> LIST_SERVER_JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xmx1g", "-XX:-UsePerfData");

    private ChildProcess() {}

    /** Returns the path of a tool of the JDK that runs this process. */
    static String jdkTool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }
}

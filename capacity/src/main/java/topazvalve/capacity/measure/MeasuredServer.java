package topazvalve.capacity.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of this program that serves lists, with commands on its standard input. */
final class MeasuredServer implements AutoCloseable {
    private final Process process;
    private final BufferedReader answers;
    private final PrintWriter commands;
    private final int port;

    /** A change as told: when, by the machine's one monotonic clock, and as which version. */
    record Told(long nanos, long rev, long last) {
        /** And the last one had it then. */
        Told until(long when) {
            return new Told(nanos, rev, when);
        }
    }

    private MeasuredServer(Process process) throws IOException {
        this.process = process;
        this.answers = process.inputReader(StandardCharsets.UTF_8);
        this.commands = new PrintWriter(process.outputWriter(StandardCharsets.UTF_8), true);
        this.port = (int) answer("port")[0];
    }

    /** A stand-in source of so many servers; {@code callsPerSecond} 0 is no bound. */
    static MeasuredServer source(int servers, double callsPerSecond, long timeoutMs, long emptyMs) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx1g",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                StandInSource.class.getName()));
        for (Object each : new Object[] {servers, callsPerSecond, timeoutMs, emptyMs}) {
            command.add(each.toString());
        }
        return new MeasuredServer(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start());
    }

    private long[] answer(String word) throws IOException {
        String line = answers.readLine();
        if (line == null || !line.startsWith(word + " ")) {
            throw new IOException("the stand-in source says: " + line);
        }
        String[] words = line.split(" ");
        long[] numbers = new long[words.length - 1];
        for (int i = 0; i < numbers.length; i++) {
            numbers[i] = Long.parseLong(words[i + 1]);
        }
        return numbers;
    }

    int port() {
        return port;
    }

    long pid() {
        return process.pid();
    }

    /** Tells a change of so many entries. */
    Told change(int entries) throws IOException {
        commands.println("change " + entries);
        long[] told = answer("told");
        return new Told(told[0], told[1], told[0]);
    }

    /** Tells a change of one entry by the whole list. */
    Told whole() throws IOException {
        commands.println("whole");
        long[] told = answer("told");
        return new Told(told[0], told[1], told[0]);
    }

    /** Calls since this was last asked. */
    long calls() throws IOException {
        commands.println("calls");
        return answer("calls")[0];
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

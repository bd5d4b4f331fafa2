package topazvalve.capacity.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.process.ChildProcesses;

/** A {@link StandInSource} in a separate process, controlled through its standard input and output. */
final class StandInSourceProcess implements AutoCloseable {
    private static final Duration STOP_GRACE = Duration.ofSeconds(5);

    private final Process process;
    private final BufferedReader replies;
    private final PrintWriter commands;
    private final int port;

    private StandInSourceProcess(Process process) throws IOException {
        this.process = process;
        this.replies = process.inputReader(StandardCharsets.UTF_8);
        this.commands = new PrintWriter(process.outputWriter(StandardCharsets.UTF_8), true);
        this.port = (int) readReply(StandInSourceMain.REPLY_PORT)[0];
    }

    /** Starts a source whose capacity is unbounded. */
    static StandInSourceProcess startUnbounded(int servers, long heartbeatIntervalMillis) throws IOException {
        long unusedTimeoutMillis = 1000;
        return start(servers, 0, unusedTimeoutMillis, heartbeatIntervalMillis);
    }

    /**
     * Starts a source.
     *
     * @param servers the length of its endpoint list
     * @param callsPerSecond the rate at which it answers; 0 means unbounded
     * @param timeoutMillis the longest time that a call waits before it is rejected
     */
    static StandInSourceProcess start(
            int servers, double callsPerSecond, long timeoutMillis, long heartbeatIntervalMillis) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(ChildProcess.jdkTool("java"));
        command.addAll(ChildProcess.LIST_SERVER_JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), StandInSourceMain.class.getName()));
        command.add(Integer.toString(servers));
        command.add(Double.toString(callsPerSecond));
        command.add(Long.toString(timeoutMillis));
        command.add(Long.toString(heartbeatIntervalMillis));
        return new StandInSourceProcess(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start());
    }

    /** Reads a reply that starts with the expected word and returns its numbers. */
    private long[] readReply(String word) throws IOException {
        String line = replies.readLine();
        if (line == null || !line.startsWith(word + " ")) {
            throw new MeasurementException("expected reply \"" + word + "\" from the stand-in source, got: " + line);
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

    /** Publishes a change that adds or removes a number of endpoints, alternately. */
    PublishedChange publishDelta(int endpoints) throws IOException {
        return publish(StandInSourceMain.COMMAND_DELTA + " " + endpoints);
    }

    /** Publishes a change that adds or removes one endpoint, as a complete list. */
    PublishedChange publishSnapshot() throws IOException {
        return publish(StandInSourceMain.COMMAND_SNAPSHOT);
    }

    private PublishedChange publish(String command) throws IOException {
        commands.println(command);
        long[] numbers = readReply(StandInSourceMain.REPLY_PUBLISHED);
        return new PublishedChange(numbers[0], numbers[1]);
    }

    /** Returns the number of calls since the previous invocation. */
    long callsSinceLastRequest() throws IOException {
        commands.println(StandInSourceMain.COMMAND_CALLS);
        return readReply(StandInSourceMain.REPLY_CALLS)[0];
    }

    @Override
    public void close() {
        ChildProcesses.stopEvenIfInterrupted(process, STOP_GRACE);
    }
}

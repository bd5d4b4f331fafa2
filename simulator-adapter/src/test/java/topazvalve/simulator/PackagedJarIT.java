package topazvalve.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The packaged jar as a process: exit status, standard error, and no partial frame on standard output. */
class PackagedJarIT {
    private record Result(int exitStatus, byte[] out, String err) {}

    private static Result run(byte[] input, String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                "simulator-adapter/target/topazvalve-simulator-adapter.jar"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).start();
        try (OutputStream in = process.getOutputStream()) {
            in.write(input);
        } catch (IOException e) {
            // The process may have rejected its arguments before reading.
        }
        byte[] out = process.getInputStream().readAllBytes();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Result(process.waitFor(), out, err);
    }

    @Test
    void exitsWithSuccessAtTheEndOfInput() throws Exception {
        Result result = run(new byte[0], "adapter");
        assertEquals(0, result.exitStatus);
        assertEquals(0, result.out.length);
    }

    @Test
    void malformedInputCausesAnErrorMessageAndNoOutput() throws Exception {
        byte[] complete =
                new FrameBuilder().instanceStarted(1, FrameBuilder.SETTINGS).build(1);
        Map<String, byte[]> inputsByMessage = Map.of(
                "frame header truncated: 3 of 16 bytes",
                new byte[] {1, 2, 3},
                "frame truncated: " + (complete.length - 3) + " of " + complete.length + " bytes",
                Arrays.copyOf(complete, complete.length - 3),
                "unknown event code 99",
                new FrameBuilder().beginRecord(99).endRecord().build(1),
                "setting missing: rules.rampTime",
                new FrameBuilder()
                        .instanceStarted(1, FrameBuilder.SETTINGS.replace("rules.rampTime", "x"))
                        .build(1));
        for (Map.Entry<String, byte[]> entry : inputsByMessage.entrySet()) {
            Result result = run(entry.getValue(), "adapter");
            assertEquals(1, result.exitStatus, entry.getKey());
            assertEquals(0, result.out.length, entry.getKey());
            assertTrue(result.err.contains("frame 0: ") && result.err.contains(entry.getKey()), result.err);
            assertEquals(1, result.err.strip().lines().count(), "one line, no stack trace: " + result.err);
        }
    }

    @Test
    void repliesBeforeAMalformedFrameAreComplete() throws Exception {
        byte[] frame = new FrameBuilder().build(5);
        Result result = run(FrameBuilder.concatenate(frame, frame, new byte[] {9}), "adapter");
        assertEquals(1, result.exitStatus);
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0}, result.out);
        assertTrue(result.err.contains("frame 2: frame header truncated: 1 of 16 bytes"), result.err);
    }

    @Test
    void wrongArgumentsShowUsage() throws Exception {
        Result result = run(new byte[0]);
        assertEquals(2, result.exitStatus);
        assertTrue(result.err.startsWith("usage:"), result.err);
    }
}

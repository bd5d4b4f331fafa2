package topazvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command as a person types it: exit codes, and errors of one line without a stack trace. */
class CommandIT {
    @TempDir
    private Path folder;

    private record Result(int status, String out, String err) {}

    private Result run(String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("./topazvalve"));
        command.addAll(List.of(args));
        Path out = folder.resolve("out");
        Path err = folder.resolve("err");
        Process process = new ProcessBuilder(command)
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        return new Result(
                process.waitFor(),
                Files.readString(out, StandardCharsets.UTF_8),
                Files.readString(err, StandardCharsets.UTF_8));
    }

    @Test
    void everyLevelHasHelpAndItNamesTheExitCodes() throws Exception {
        Result help = run("--help");
        assertEquals(0, help.status);
        assertTrue(help.out.contains("Exit codes:") && help.out.contains("serve"), help.out);
        List<String> verbs = help.out
                .lines()
                .dropWhile(line -> !line.startsWith("Commands:"))
                .skip(1)
                .takeWhile(line -> line.startsWith("  "))
                .filter(line -> line.charAt(2) != ' ')
                .map(line -> line.strip().split(" ")[0])
                .toList();
        assertTrue(verbs.size() >= 3, help.out);
        for (String verb : verbs) {
            Result each = run(verb, "--help");
            assertEquals(0, each.status, verb);
            assertTrue(each.out.contains("Usage: topazvalve " + verb), each.out);
        }
    }

    @Test
    void whatIsWrongIsOneLineWithStatus2() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"settings\":");
        for (List<String> args : List.of(
                List.of("fly"),
                List.of("check"),
                List.of("check", "nowhere.json"),
                List.of("check", bad.toString()),
                List.of("serve", "now"))) {
            Result result = run(args.toArray(new String[0]));
            assertEquals(2, result.status, args.toString());
            assertEquals(1, result.err.lines().count(), result.err);
            assertFalse(result.err.contains("Exception") || result.err.contains("\tat "), result.err);
        }
    }

    @Test
    void aGoodConfigurationIsSaidToBeGood() throws Exception {
        Result result = run("check", "deploy/rehearsal.json");
        assertEquals(0, result.status, result.err);
        assertTrue(result.out.contains("good; classes [rehearsal]"), result.out);
    }

    @Test
    void serveIsTheRunLine() throws Exception {
        Result result = run("serve");
        assertEquals(2, result.status);
        assertTrue(result.err.contains("not set: PROXY_CONFIG"), result.err);
    }

    /** The packaged sidecar between stand-ins, through a drain, restarts and a kill: real bytes. */
    @Test
    void aShortScenarioOnRealSocketsKeepsEveryRule() throws Exception {
        Result result = run(
                "world",
                "cli/src/test/resources/short.toml",
                "--real",
                "--out",
                folder.resolve("real").toString());
        assertEquals(0, result.status, result.out + result.err);
        assertTrue(result.out.contains("rules: all held"), result.out);
        assertTrue(Files.size(folder.resolve("real/report.html")) > 50_000, "the report holds its plots");
        assertEquals(
                7, result.out.lines().filter(line -> line.contains(" req/s ")).count(), result.out);
    }

    /** Every fault of a scenario is told, each on a line of its own with its place, and nothing is played. */
    @Test
    void aBadScenarioIsRefusedWithEveryFault() throws Exception {
        String good = Files.readString(Path.of("cli/src/test/resources/short.toml"));
        Path bad = Files.writeString(
                folder.resolve("bad.toml"),
                good.replace("servers = 4", "sevrers = 4").replace("length = \"7s\"", "length = 7"));
        for (String verb : List.of("check", "world")) {
            Result result = run(verb, bad.toString());
            assertEquals(2, result.status, result.err);
            assertEquals("", result.out);
            assertTrue(
                    result.err.contains("bad.toml:3: length: 7 is not a duration")
                            && result.err.contains("fleet.sevrers: unknown key; was \"servers\" meant?"),
                    result.err);
        }
    }
}

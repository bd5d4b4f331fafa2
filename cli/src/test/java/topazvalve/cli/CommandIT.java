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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the command in a process of its own: names of verbs, exit codes, and errors without a stack trace. */
@Timeout(300)
class CommandIT {
    @TempDir
    private Path directory;

    private record Result(int status, String out, String err) {}

    private Result run(String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("./topazvalve"));
        command.addAll(List.of(args));
        Path out = directory.resolve("out");
        Path err = directory.resolve("err");
        Process process = new ProcessBuilder(command)
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        // The simulator verb runs until its input ends.
        process.getOutputStream().close();
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
        List<List<String>> verbs = help.out
                .lines()
                .dropWhile(line -> !line.startsWith("Commands:"))
                .skip(1)
                .takeWhile(line -> line.startsWith("  "))
                .filter(line -> line.charAt(2) != ' ')
                .map(line -> List.of(line.strip().split(" {2,}")[0].split(", ")))
                .toList();
        assertTrue(verbs.size() >= 3, help.out);
        for (List<String> names : verbs) {
            for (String name : names) {
                Result each = run(name, "--help");
                assertEquals(0, each.status, name);
                assertTrue(each.out.contains("Usage: topazvalve " + names.get(0)), each.out);
            }
        }
        assertTrue(verbs.contains(List.of("simulate", "world")), help.out);
        assertTrue(verbs.contains(List.of("simulator", "simhost")), help.out);
    }

    @Test
    void formerNamesOfVerbsStillWork() throws Exception {
        for (String verb : List.of("simulate", "world")) {
            Result result = run(verb, "cli/src/test/resources/short.toml", "--seed", "3");
            assertEquals(0, result.status, result.err);
            assertTrue(result.out.contains("seed 3: service") && result.out.contains("rules: all held"), result.out);
        }
        for (String verb : List.of("simulator", "simhost")) {
            Result result = run(verb, "--policy", "module");
            assertEquals(0, result.status, result.err);
            assertEquals("", result.out, "no frame, no reply");
        }
    }

    @Test
    void pathInTheFormerDirectoryFindsTheScenario() throws Exception {
        Result result = run("check", "world/scenarios/quiet.toml");
        assertEquals(0, result.status, result.err);
        assertEquals("simulation/scenarios/quiet.toml: good; scenario quiet", result.out.strip());
    }

    @Test
    void invalidInputIsReportedInOneLineWithStatus2() throws Exception {
        Path bad = Files.writeString(directory.resolve("bad.json"), "{\"settings\":");
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
    void validConfigurationIsReportedAsGood() throws Exception {
        Result result = run("check", "deploy/rehearsal.json");
        assertEquals(0, result.status, result.err);
        assertTrue(result.out.contains("good; classes [rehearsal]"), result.out);
    }

    @Test
    void serveRunsTheRunLineOfTheDeployment() throws Exception {
        Result result = run("serve");
        assertEquals(2, result.status);
        assertTrue(result.err.contains("not set: PROXY_CONFIG"), result.err);
    }

    /** Runs the packaged sidecar between stand-ins on real sockets, with a drain, restarts and a kill. */
    @Test
    void shortScenarioOnRealSocketsKeepsEveryRule() throws Exception {
        Result result = run(
                "simulate",
                "cli/src/test/resources/short.toml",
                "--real",
                "--out",
                directory.resolve("real").toString());
        assertEquals(0, result.status, result.out + result.err);
        assertTrue(result.out.contains("rules: all held"), result.out);
        assertTrue(Files.size(directory.resolve("real/report.html")) > 50_000, "the report contains its plots");
        assertEquals(
                7, result.out.lines().filter(line -> line.contains(" req/s ")).count(), result.out);
    }

    /** Every problem of a scenario is reported on a separate line with its position, and the scenario is not run. */
    @Test
    void invalidScenarioIsRejectedWithEveryProblem() throws Exception {
        String good = Files.readString(Path.of("cli/src/test/resources/short.toml"));
        Path bad = Files.writeString(
                directory.resolve("bad.toml"),
                good.replace("servers = 4", "sevrers = 4").replace("length = \"7s\"", "length = 7"));
        for (String verb : List.of("check", "simulate")) {
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

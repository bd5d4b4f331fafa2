package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the source files that {@code deploy/balancer.toml} lists under {@code policy}: exactly the files that make
 * load-balancing decisions, each of limited size, without I/O, clock or thread.
 *
 * <p>The package's decisions are in package-private types and in the public implementation of {@link LoadBalancer}. All
 * other public types of the package are the interface to the host: settings, events and actions.
 */
class PolicySourceFilesTest {
    private static final Path ROOT = Path.of("..");
    private static final Path PACKAGE = Path.of("policy/src/main/java/topazvalve/policy");
    private static final int MAX_FILE_LINES = 300;
    private static final int MAX_LINE_LENGTH = 120;

    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");
    private static final Pattern PUBLIC_TYPE =
            Pattern.compile("(?m)^public (?:(?:final|abstract|sealed) )*(?:class|interface|record|enum) .*");
    private static final Pattern INPUT_CLOCK_OR_THREAD =
            Pattern.compile("\\bjava\\.(?:io|nio|net|time|util\\.concurrent)\\b"
                    + "|\\b(?:System\\.|Thread\\b|Runtime\\b|ProcessBuilder\\b)");

    @Test
    void deployFileListsExactlyTheFilesThatDecide() throws IOException {
        List<String> listed = listedFiles();
        assertEquals(listed.size(), Set.copyOf(listed).size(), "a file is listed twice");
        assertEquals(filesThatDecide(), new TreeSet<>(listed));
    }

    @Test
    void listedFilesAreSmallAndUseNoInputClockOrThread() throws IOException {
        List<String> listed = listedFiles();
        assertTrue(listed.size() >= 3, listed.toString());
        for (String file : listed) {
            List<String> lines = Files.readAllLines(ROOT.resolve(file));
            assertTrue(lines.size() <= MAX_FILE_LINES, file + " has " + lines.size() + " lines");
            for (String line : lines) {
                assertTrue(line.length() <= MAX_LINE_LENGTH, file + ": " + line);
                assertFalse(INPUT_CLOCK_OR_THREAD.matcher(line).find(), file + ": " + line);
            }
        }
    }

    private static List<String> listedFiles() throws IOException {
        String policy = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        return QUOTED.matcher(policy).results().map(file -> file.group(1)).toList();
    }

    private static Set<String> filesThatDecide() throws IOException {
        try (Stream<Path> files = Files.list(ROOT.resolve(PACKAGE))) {
            return files.filter(file -> !file.endsWith("package-info.java"))
                    .filter(PolicySourceFilesTest::decides)
                    .map(file -> PACKAGE.resolve(file.getFileName()).toString())
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private static boolean decides(Path file) {
        try {
            return PUBLIC_TYPE
                    .matcher(Files.readString(file))
                    .results()
                    .allMatch(type -> type.group().contains("implements LoadBalancer"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

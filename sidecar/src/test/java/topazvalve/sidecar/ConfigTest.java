package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.core.net.Addresses;
import topazvalve.policy.Idempotency;
import topazvalve.policy.Settings;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.config.InvalidConfigException;

/** Reading and validating the configuration and the settings in it. */
class ConfigTest {

    @Test
    void settingsAreReadAsInTheSimulatorProtocol() throws Exception {
        Config config = SidecarFixture.config(SidecarFixture.configJson());
        Settings settings = config.settingsReader().settings();
        assertEquals(List.of("rate", "q"), settings.loadReportFields());
        assertEquals(
                Idempotency.NON_IDEMPOTENT, settings.requestClasses().get(2).idempotency());
        assertEquals(750_000_000, settings.capabilities().maxRetryAfterNanos());
        assertEquals(List.of("look", "hold", "book"), config.settingsReader().names("profiles"));
        assertEquals(List.of("acme"), config.settingsReader().names("parties"));
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(41, config.initialEndpoints().revision());
    }

    /** A single line must tell the operator which key to correct. */
    @Test
    void errorsNameTheInvalidKey() throws Exception {
        for (String key : List.of("listen", "discovery", "seed", "settings")) {
            ObjectNode json = SidecarFixture.configJson();
            json.remove(key);
            assertRejectedNaming(key, json);
        }
        ObjectNode json = SidecarFixture.configJson();
        json.withObject("/settings/rules").remove("rampTime");
        assertRejectedNaming("rules.rampTime", json);
        json = SidecarFixture.configJson();
        json.withObject("/settings/caps").put("tryLimit", "many");
        assertRejectedNaming("caps.tryLimit", json);
        json = SidecarFixture.configJson();
        json.withObject("/limits").put("sockets", 3);
        assertRejectedNaming("limits.sockets", json);
    }

    @Test
    void exceptionCarriesThePathOfTheKey() throws Exception {
        ObjectNode json = SidecarFixture.configJson();
        ((ObjectNode) json.at("/settings/profiles/1")).remove("keyScope");
        InvalidConfigException exception =
                assertThrows(InvalidConfigException.class, () -> SidecarFixture.config(json));
        assertEquals("profiles.1.keyScope", exception.key());
        assertEquals("missing: profiles.1.keyScope", exception.getMessage());
    }

    /** A file that is truncated, has data appended to it or repeats a key is rejected. */
    @Test
    void malformedFileIsRejected(@TempDir Path directory) throws Exception {
        String valid = SidecarFixture.configJson().toString();
        Path file = directory.resolve("config.json");
        for (int length = 0; length < valid.length(); length++) {
            Files.writeString(file, valid.substring(0, length));
            assertThrows(InvalidConfigException.class, () -> Config.read(file), "truncated to " + length);
        }
        String repeatedKey = valid.replaceFirst("\\{", "{\"seed\":\"1\",");
        for (String invalid : List.of(valid + valid, valid + "}", repeatedKey)) {
            Files.writeString(file, invalid);
            assertThrows(InvalidConfigException.class, () -> Config.read(file), invalid);
        }
        Files.writeString(file, valid);
        assertEquals("n0", Config.read(file).name());
    }

    @Test
    void deadlinesAndAttemptsMustBePositiveNumbers() throws Exception {
        for (String invalid : List.of("0", "-1", "\"soon\"", "\"5\"", "null", "true", "[5]", "{}")) {
            ObjectNode json = SidecarFixture.configJson();
            json.withObject("/settings/caps").set("tryLimit", SidecarFixture.JSON.readTree(invalid));
            assertRejectedNaming("caps.tryLimit", json);
            json = SidecarFixture.configJson();
            ((ObjectNode) json.at("/settings/profiles/1")).set("deadline", SidecarFixture.JSON.readTree(invalid));
            assertRejectedNaming("profiles.1.deadline", json);
        }
    }

    /** Every key in force must be present again, so that no default replaces it silently. */
    @Test
    void reloadRejectsAFileThatLacksAKey() throws Exception {
        Config inForce = SidecarFixture.config(SidecarFixture.configJson());
        inForce.requireReloadableFrom(inForce);
        for (String path : List.of(
                "/settings/caps/connIdle",
                "/settings/rules/askWithin",
                "/limits/cores",
                "/settings/zones",
                "/known",
                "/name")) {
            ObjectNode json = SidecarFixture.configJson();
            int slash = path.lastIndexOf('/');
            String key = path.substring(slash + 1);
            ((ObjectNode) json.at(path.substring(0, slash))).remove(key);
            String message = assertThrows(
                            IllegalArgumentException.class,
                            () -> SidecarFixture.config(json).requireReloadableFrom(inForce))
                    .getMessage();
            assertTrue(message.contains(key), message);
        }
        ObjectNode json = SidecarFixture.configJson();
        json.withObject("/settings").put("discovery", "subscribe");
        Config other = SidecarFixture.config(json);
        assertThrows(IllegalArgumentException.class, () -> other.requireReloadableFrom(inForce));
        json = SidecarFixture.configJson();
        json.withObject("/settings").withArray("/profiles").remove(0);
        SidecarFixture.config(json).requireReloadableFrom(inForce);
    }

    private static void assertRejectedNaming(String key, ObjectNode json) {
        String message = assertThrows(IllegalArgumentException.class, () -> SidecarFixture.config(json))
                .getMessage();
        assertTrue(message.contains(key) && message.lines().count() == 1, message);
    }

    /** There is no DNS, so a host name would block the event loop until the resolver times out. */
    @Test
    void onlyNumericAddressesAreAccepted() {
        assertEquals(8080, Addresses.parse("127.0.0.1:8080").getPort());
        for (String invalid : List.of("", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80")) {
            assertNull(Addresses.parse(invalid), invalid);
        }
    }
}

package topazvalve.lists;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Version vectors: written, read, compared. */
class VersionsTest {
    @Test
    void whatIsWrittenIsRead() {
        Versions versions = Versions.of("us", new Version(0, 7)).with("eu", new Version(3, 41));
        assertEquals("eu:3.41,us:0.7", versions.toString());
        assertEquals(versions, Versions.parse(versions.toString()));
        assertEquals(Versions.NONE, Versions.parse(""));
        assertEquals(48, versions.sum());
        assertNull(versions.at("ap"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "eu",
                "eu:",
                "eu:1",
                "eu:1.",
                "eu:.1",
                "eu:-1.2",
                "EU:1.2",
                "eu:1.2,",
                ",eu:1.2",
                "eu:1.2,eu:1.3",
                "eu:1.2;us:1.2",
                "eu:1.99999999999999999999",
                ":1.2",
                "e u:1.2",
                "eu:1.2.3"
            })
    void whatIsNoneIsRefused(String text) {
        assertThrows(IllegalArgumentException.class, () -> Versions.parse(text));
    }

    @Test
    void sourcesFromOutsideAreBounded() {
        StringBuilder text = new StringBuilder("s0:1.1");
        for (int i = 1; i <= Versions.MOST_SOURCES; i++) {
            text.append(",s").append(i).append(":1.1");
        }
        assertThrows(IllegalArgumentException.class, () -> Versions.parse(text.toString()));
    }

    @Test
    void aLaterLifeIsNewerWhateverItsCount() {
        Versions old = Versions.of("eu", new Version(1, 900));
        Versions anew = Versions.of("eu", new Version(2, 5));
        assertTrue(old.behind(anew));
        assertFalse(anew.behind(old));
    }

    @Test
    void withoutEpochsNobodyIsCalledBehind() {
        assertFalse(Versions.of("eu", new Version(0, 5)).behind(Versions.of("eu", new Version(0, 900))));
        assertFalse(Versions.of("eu", new Version(0, 5)).behind(Versions.of("us", new Version(1, 9))));
    }

    @Test
    void whatIsNotToldOfStays() {
        Versions had = Versions.parse("eu:1.4,us:1.9");
        assertEquals("eu:1.5,us:1.9", had.after(Versions.parse("eu:1.5")).toString());
    }
}

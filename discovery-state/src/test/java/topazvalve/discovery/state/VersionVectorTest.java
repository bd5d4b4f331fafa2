package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the text form and the comparison of version vectors. */
class VersionVectorTest {
    @Test
    void textFormRoundTrips() {
        VersionVector versions = VersionVector.of("us", new SourceVersion(0, 7)).with("eu", new SourceVersion(3, 41));
        assertEquals("eu:3.41,us:0.7", versions.toString());
        assertEquals(versions, VersionVector.parse(versions.toString()));
        assertEquals(VersionVector.NONE, VersionVector.parse(""));
        assertEquals(48, versions.revisionSum());
        assertNull(versions.versionOf("ap"));
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
    void invalidTextIsRejected(String text) {
        assertThrows(InvalidVersionException.class, () -> VersionVector.parse(text));
    }

    @Test
    void tooManySourcesAreRejected() {
        StringBuilder text = new StringBuilder("s0:1.1");
        for (int i = 1; i <= VersionVector.MAX_SOURCES; i++) {
            text.append(",s").append(i).append(":1.1");
        }
        assertThrows(InvalidVersionException.class, () -> VersionVector.parse(text.toString()));
    }

    @Test
    void laterEpochIsNewerWhateverItsRevision() {
        VersionVector earlier = VersionVector.of("eu", new SourceVersion(1, 900));
        VersionVector later = VersionVector.of("eu", new SourceVersion(2, 5));
        assertTrue(earlier.isBehind(later));
        assertFalse(later.isBehind(earlier));
    }

    @Test
    void withoutEpochsNoVectorIsBehind() {
        assertFalse(VersionVector.of("eu", new SourceVersion(0, 5))
                .isBehind(VersionVector.of("eu", new SourceVersion(0, 900))));
        assertFalse(VersionVector.of("eu", new SourceVersion(0, 5))
                .isBehind(VersionVector.of("us", new SourceVersion(1, 9))));
    }

    @Test
    void mergeKeepsSourcesMissingFromTheOtherVector() {
        VersionVector known = VersionVector.parse("eu:1.4,us:1.9");
        assertEquals("eu:1.5,us:1.9", known.merge(VersionVector.parse("eu:1.5")).toString());
    }
}

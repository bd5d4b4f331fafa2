package topazvalve.discovery.state;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that the package does no I/O, reads no clock and starts no thread. */
class ArchitectureTest {
    @Test
    void stateUsesNoIoClockOrThread() {
        var classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("topazvalve.discovery.state");
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "topazvalve.discovery.state..",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "java.util.regex",
                        "java.util.random",
                        "java.nio.charset",
                        "org.apache.commons.codec.digest",
                        "")
                .check(classes);
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }
}

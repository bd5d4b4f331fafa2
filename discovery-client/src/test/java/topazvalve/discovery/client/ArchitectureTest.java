package topazvalve.discovery.client;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the dependencies of the discovery client and its JSON reader. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.discovery.client", "topazvalve.discovery.json");

    @Test
    void clientDependsOnNoProcessModule() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "topazvalve.sidecar..", "topazvalve.relay..", "topazvalve.tcp..", "topazvalve.hollowfleet..")
                .check(CLASSES);
    }

    @Test
    void jsonReaderDependsOnTheStreamingParserOnly() {
        noClasses()
                .that()
                .resideInAPackage("topazvalve.discovery.json")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "topazvalve.discovery.json",
                        "java.lang..",
                        "java.io",
                        "java.util",
                        "com.fasterxml.jackson.core..",
                        "")
                .check(CLASSES);
    }
}

package topazvalve.relay;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The relay shares only the discovery client with sidecars, and sidecars do not depend on the relay. */
class ArchitectureTest {
    @Test
    void dependenciesPointOneWay() {
        var classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("topazvalve");
        noClasses()
                .that()
                .resideInAPackage("topazvalve.relay..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "topazvalve.policy..",
                        "topazvalve.core.exchange..",
                        "topazvalve.core.pool..",
                        "topazvalve.sidecar..",
                        "topazvalve.simulation..")
                .check(classes);
        noClasses()
                .that()
                .resideInAnyPackage("topazvalve.sidecar..", "topazvalve.core..", "topazvalve.discovery..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("topazvalve.relay..")
                .check(classes);
    }
}

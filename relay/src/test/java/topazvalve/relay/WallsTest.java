package topazvalve.relay;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** A relay reads as a sidecar does and knows nothing else of it; nobody knows a relay. */
class WallsTest {
    @Test
    void dependenciesGoOneWay() {
        var house = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("topazvalve");
        noClasses()
                .that()
                .resideInAPackage("topazvalve.relay..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "topazvalve.decisions..",
                        "topazvalve.core.exchange..",
                        "topazvalve.core.pool..",
                        "topazvalve.sidecar.front..",
                        "topazvalve.sidecar.upstream..",
                        "topazvalve.world..")
                .check(house);
        noClasses()
                .that()
                .resideInAnyPackage("topazvalve.sidecar..", "topazvalve.core..", "topazvalve.lists..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("topazvalve.relay..")
                .check(house);
    }
}

package topazvalve.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Who judges knows neither clock nor socket, and the module's packages depend one way. */
class WallsTest {
    private static final JavaClasses FLEET = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.fleet");

    @Test
    void whoJudgesKnowsNeitherClockNorSocket() {
        noClasses()
                .that()
                .resideInAnyPackage("..fleet.truth..", "..fleet.oracle..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(FLEET);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("topazvalve.fleet.(*)..").should().beFreeOfCycles().check(FLEET);
    }
}

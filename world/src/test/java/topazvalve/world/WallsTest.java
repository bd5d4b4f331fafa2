package topazvalve.world;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** One model on two clocks: it may know neither of them. */
class WallsTest {
    private static final JavaClasses WORLD = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.world");

    @Test
    void theModelKnowsNeitherClockNorSocket() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..world.model..",
                        "..world.oracle..",
                        "..world.policy..",
                        "..world.scenario..",
                        "..world.tally..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..world.real..", "..world.virtual..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(WORLD);
    }

    @Test
    void virtualTimeOpensNoSocket() {
        noClasses()
                .that()
                .resideInAnyPackage("..world.virtual..", "..world.experiment..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..world.real..")
                .check(WORLD);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("topazvalve.world.(*)..").should().beFreeOfCycles().check(WORLD);
    }
}

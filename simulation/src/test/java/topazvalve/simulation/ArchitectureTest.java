package topazvalve.simulation;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The model depends neither on a particular clock nor on sockets, so that it runs in virtual and in real time. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.simulation");

    @Test
    void modelDependsOnNeitherClockNorSockets() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "..simulation.model..",
                        "..simulation.oracle..",
                        "..simulation.policy..",
                        "..simulation.scenario..",
                        "..simulation.statistics..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..simulation.real..", "..simulation.virtual..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    @Test
    void virtualTimeUsesNoSockets() {
        noClasses()
                .that()
                .resideInAnyPackage("..simulation.virtual..", "..simulation.experiment..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..simulation.real..")
                .check(CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("topazvalve.simulation.(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }
}

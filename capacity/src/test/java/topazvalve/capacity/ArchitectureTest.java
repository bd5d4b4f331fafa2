package topazvalve.capacity;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Plan, fit and demand use no clock, sockets or measurement code; the packages have no cyclic dependencies. */
class ArchitectureTest {
    private static final JavaClasses CAPACITY = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.capacity");

    @Test
    void calculationsDoNotMeasure() {
        noClasses()
                .that()
                .resideInAnyPackage("..capacity.plan..", "..capacity.fit..", "..capacity.demand..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "..capacity.measure..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CAPACITY);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("topazvalve.capacity.(*)..").should().beFreeOfCycles().check(CAPACITY);
    }
}

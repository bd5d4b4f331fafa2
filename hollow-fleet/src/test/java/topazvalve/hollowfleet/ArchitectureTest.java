package topazvalve.hollowfleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** History and oracle use neither a clock nor sockets, and the packages of the module have no cycles. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve.hollowfleet");

    @Test
    void historyAndOracleUseNeitherClockNorSocket() {
        noClasses()
                .that()
                .resideInAnyPackage("..hollowfleet.history..", "..hollowfleet.oracle..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("topazvalve.hollowfleet.(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }
}

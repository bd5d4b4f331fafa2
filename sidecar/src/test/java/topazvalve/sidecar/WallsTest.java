package topazvalve.sidecar;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The walls that Maven's modules can't hold: inside the decisions, and between the sidecar's packages. */
class WallsTest {
    private static final JavaClasses HOUSE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("topazvalve");

    @Test
    void decisionsKnowNoLibraryInputClockOrThread() {
        noClasses().that().resideInAPackage("topazvalve.decisions..").should().dependOnClassesThat()
                .resideOutsideOfPackages("topazvalve.decisions..", "java.lang..", "java.util",
                        "java.util.function", "java.util.stream", "").check(HOUSE);
        noClasses().that().resideInAPackage("topazvalve.decisions..").should()
                .callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
                .orShould().dependOnClassesThat().areAssignableTo(Thread.class).check(HOUSE);
    }

    @Test
    void packagesOfTheSidecarHaveNoCycles() {
        slices().matching("topazvalve.sidecar.(*)..").should().beFreeOfCycles().check(HOUSE);
    }

    @Test
    void upstreamsAndFrontKnowNothingOfEachOther() {
        noClasses().that().resideInAPackage("..sidecar.upstream..").should().dependOnClassesThat()
                .resideInAnyPackage("..sidecar.front..", "..sidecar.engine..").check(HOUSE);
        noClasses().that().resideInAPackage("..sidecar.front..").should().dependOnClassesThat()
                .resideInAnyPackage("..sidecar.upstream..", "..sidecar.discovery..").check(HOUSE);
    }

    @Test
    void onlyTheEngineCallsTheModule() {
        noClasses().that().resideInAPackage("topazvalve.sidecar..").and()
                .resideOutsideOfPackages("..sidecar.engine..").and().doNotHaveSimpleName("WarmUp")
                .should().dependOnClassesThat().haveFullyQualifiedName("topazvalve.decisions.Rules")
                .check(HOUSE);
    }
}

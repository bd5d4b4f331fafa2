package topazvalve.sidecar;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.properties.HasOwner;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The walls that Maven's modules can't hold: inside the decisions, and between the sidecar's packages. */
class WallsTest {
    private static final JavaClasses HOUSE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve");

    @Test
    void decisionsKnowNoLibraryInputClockOrThread() {
        noClasses()
                .that()
                .resideInAPackage("topazvalve.decisions..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "topazvalve.decisions..",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "")
                .check(HOUSE);
        noClasses()
                .that()
                .resideInAPackage("topazvalve.decisions..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(HOUSE);
    }

    @Test
    void packagesOfTheSidecarHaveNoCycles() {
        slices().matching("topazvalve.sidecar.(*)..").should().beFreeOfCycles().check(HOUSE);
    }

    @Test
    void coreKnowsNoProtocolAndNobodyAbove() {
        noClasses()
                .that()
                .resideInAPackage("topazvalve.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.handler..", "com.fasterxml..", "topazvalve.sidecar..", "topazvalve.tcp..")
                .check(HOUSE);
        slices().matching("topazvalve.core.(*)..").should().beFreeOfCycles().check(HOUSE);
    }

    @Test
    void exchangesReachServersByInterfacesAlone() {
        noClasses()
                .that()
                .resideInAPackage("..core.exchange..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.channel..")
                .check(HOUSE);
        noClasses()
                .that()
                .resideInAPackage("..core.exchange..")
                .should()
                .dependOnClassesThat()
                .haveSimpleName("Pools")
                .orShould()
                .dependOnClassesThat()
                .haveSimpleName("PooledConnection")
                .check(HOUSE);
    }

    @Test
    void upstreamsAndFrontKnowNothingOfEachOther() {
        noClasses()
                .that()
                .resideInAPackage("..sidecar.upstream..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..sidecar.front..", "..core.exchange..")
                .check(HOUSE);
        noClasses()
                .that()
                .resideInAPackage("..sidecar.front..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..sidecar.upstream..", "..sidecar.discovery..")
                .check(HOUSE);
    }

    @Test
    void onlyWhoPutsThePartsTogetherNamesTheModule() {
        noClasses()
                .that()
                .resideInAnyPackage("topazvalve.sidecar..", "topazvalve.core..", "topazvalve.tcp..")
                .and()
                .doNotHaveSimpleName("WarmUp")
                .and()
                .doNotHaveSimpleName("HttpSide")
                .and()
                .doNotHaveSimpleName("TcpSide")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("topazvalve.decisions.Rules")
                .check(HOUSE);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "topazvalve.core.exchange..",
                        "topazvalve.decisions..",
                        "topazvalve.simhost..",
                        "topazvalve.world..",
                        "topazvalve.command..")
                .and()
                .doNotHaveSimpleName("WarmUp")
                .should()
                .callMethodWhere(JavaCall.Predicates.target(HasOwner.Predicates.With.owner(DescribedPredicate.describe(
                        "the module", owner -> owner.getName().equals("topazvalve.decisions.Balancer")))))
                .check(HOUSE);
    }
}

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

/** Dependency rules that Maven modules cannot express, for the policy, the core and the sidecar's packages. */
class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("topazvalve");

    @Test
    void policyUsesNoLibraryInputOutputClockOrThread() {
        noClasses()
                .that()
                .resideInAPackage("topazvalve.policy..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "topazvalve.policy..", "java.lang..", "java.util", "java.util.function", "java.util.stream", "")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("topazvalve.policy..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }

    @Test
    void sidecarPackagesHaveNoCycles() {
        slices().matching("topazvalve.sidecar.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void coreDependsOnNoProtocolAndNoHigherModule() {
        noClasses()
                .that()
                .resideInAPackage("topazvalve.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty.handler..",
                        "com.fasterxml..",
                        "topazvalve.sidecar..",
                        "topazvalve.tcp..",
                        "topazvalve.discovery..")
                .check(CLASSES);
        slices().matching("topazvalve.core.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void exchangesReachServersThroughInterfacesOnly() {
        noClasses()
                .that()
                .resideInAPackage("..core.exchange..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty.channel..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("..core.exchange..")
                .should()
                .dependOnClassesThat()
                .haveSimpleName("ConnectionPools")
                .orShould()
                .dependOnClassesThat()
                .haveSimpleName("PooledConnection")
                .check(CLASSES);
    }

    /** Guards against another way to a server than the check right before the first byte. */
    @Test
    void attemptsAreWrittenOnlyOnConnectionsThatCheckThem() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("topazvalve.core.pool.PooledConnection")
                .should()
                .callMethodWhere(callOf("topazvalve.core.pool.ConnectionHandler", "startAttempt"))
                .orShould()
                .callMethodWhere(callOf("topazvalve.sidecar.upstream.HttpConnectionHandler", "startAttempt"))
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage("..sidecar.upstream..", "..core.pool..")
                .and()
                .doNotHaveSimpleName("RequestWriter")
                .should()
                .callMethodWhere(callOf("io.netty.channel.Channel", "write"))
                .orShould()
                .callMethodWhere(callOf("io.netty.channel.Channel", "writeAndFlush"))
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage("..sidecar.upstream..", "..core.pool..", "..tcp..")
                .and()
                .doNotHaveSimpleName("PooledConnection")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("io.netty.bootstrap.Bootstrap")
                .check(CLASSES);
    }

    private static DescribedPredicate<JavaCall<?>> callOf(String owner, String method) {
        return DescribedPredicate.describe(
                owner + "." + method,
                call -> call.getTargetOwner().getName().equals(owner)
                        && call.getName().equals(method));
    }

    @Test
    void upstreamAndFrontendAreIndependent() {
        noClasses()
                .that()
                .resideInAPackage("..sidecar.upstream..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..sidecar.frontend..", "..core.exchange..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("..sidecar.frontend..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("..sidecar.upstream..", "topazvalve.discovery..")
                .check(CLASSES);
    }

    @Test
    void onlyAssemblyClassesDependOnThePolicyImplementation() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "topazvalve.sidecar..", "topazvalve.core..", "topazvalve.tcp..", "topazvalve.discovery..")
                .and()
                .doNotHaveSimpleName("WarmUp")
                .and()
                .doNotHaveSimpleName("HttpProxy")
                .and()
                .doNotHaveSimpleName("TcpProxy")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("topazvalve.policy.SidecarPolicy")
                .check(CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "topazvalve.core.exchange..",
                        "topazvalve.policy..",
                        "topazvalve.simulator..",
                        "topazvalve.simulation..",
                        "topazvalve.cli..")
                .and()
                .doNotHaveSimpleName("WarmUp")
                .should()
                .callMethodWhere(JavaCall.Predicates.target(HasOwner.Predicates.With.owner(DescribedPredicate.describe(
                        "the policy", owner -> owner.getName().equals("topazvalve.policy.LoadBalancer")))))
                .check(CLASSES);
    }
}

package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.settings;
import static topazvalve.policy.RecordingHost.withObjective;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of endpoints that stop responding under load: their ejection, health checks and trial requests. */
class EjectionUnderLoadTest {
    private static final int SIDECARS = 14;

    private static RecordingHost healthCheckingHost(long seed) {
        return healthCheckingHost(seed, NON_IDEMPOTENT);
    }

    private static RecordingHost healthCheckingHost(long seed, RequestClass requestClass) {
        Settings base = settings(requestClass);
        return new RecordingHost(
                new Settings(
                        0,
                        SIDECARS,
                        0,
                        5 * MS,
                        DiscoveryMode.AUTOMATIC,
                        WeightKind.SILENT,
                        base.requestClasses(),
                        List.of(),
                        new Capabilities(true, true, false, true, true, 3, 1_000 * MS, 250 * MS),
                        base.limits(),
                        List.of(),
                        Costs.NONE,
                        false,
                        1),
                seed);
    }

    private static ConstantRateLoad withEndpointTwoEjected() {
        ConstantRateLoad load = new ConstantRateLoad(healthCheckingHost(3).withEndpoints(8));
        load.run(2, 60, server -> 60 * MS);
        load.run(8, 60, server -> server == 2 ? -1 : 60 * MS);
        return load;
    }

    @Test
    void silentEndpointsTakeNoCapacity() {
        for (int seed = 0; seed < 5; seed++) {
            ConstantRateLoad load = new ConstantRateLoad(
                    healthCheckingHost(seed, withObjective(100)).withEndpoints(20));
            load.run(2, 60, server -> 20 * MS);
            long before = load.rejectedCount();
            load.run(2, 60, server -> server < 10 ? -1 : 20 * MS);
            assertTrue(load.rejectedCount() - before < 12, "rejected: " + (load.rejectedCount() - before));
        }
    }

    /** A silent endpoint gets no request until a health check shows that it responds again. */
    @Test
    void ejectedEndpointGetsAHealthCheckBeforeATrialRequest() {
        ConstantRateLoad load = withEndpointTwoEjected();
        RecordingHost host = load.host;
        int before = host.attempts.size();
        long healthChecks = host.log.stream().filter("health-check 2"::equals).count();
        assertEquals(1, healthChecks, "one health check is outstanding");
        load.run(5, 60, server -> server == 2 ? -1 : 60 * MS);
        assertEquals(0, host.attemptsTo(2, before));
        host.policy.healthCheckCompleted(host.now, 2, Outcome.TIMEOUT, 250 * MS, new float[0]);
        load.run(10, 60, server -> server == 2 ? -1 : 60 * MS);
        assertEquals(0, host.attemptsTo(2, before), "the health check was not answered");
        assertEquals(2, host.log.stream().filter("health-check 2"::equals).count(), "it is checked again later");
        host.policy.healthCheckCompleted(host.now, 2, Outcome.OK, MS, new float[0]);
        load.run(5, 60, server -> 60 * MS);
        assertTrue(host.attemptsTo(2, before) > 5, "it takes its turns again");
    }

    /** An endpoint that serves requests but does not support health checks is not ejected forever. */
    @Test
    void manyUnansweredHealthChecksAdmitATrialRequest() {
        ConstantRateLoad load = withEndpointTwoEjected();
        RecordingHost host = load.host;
        int before = host.attempts.size();
        for (int i = 0; i < 6; i++) {
            assertEquals(0, host.attemptsTo(2, before), "after unanswered health checks: " + i);
            host.policy.healthCheckCompleted(host.now, 2, Outcome.TIMEOUT, 250 * MS, new float[0]);
            load.run(5, 60, server -> 60 * MS);
        }
        assertTrue(host.attemptsTo(2, before) > 0);
    }
}

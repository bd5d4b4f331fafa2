package topazvalve.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Random;

/** Facade of the policy: passes each event to the part that handles it; {@code docs/design/policy.md} gives reasons. */
public final class SidecarPolicy implements LoadBalancer {
    private Settings settings;
    private final PolicyContext context;
    private final EndpointRegistry registry;
    private final ResponseTimeEstimator estimator;
    private final OutlierDetector detector;
    private final ConcurrencyLimiter limiter;
    private final LoadProbing probing;
    private final RandomizedRoundRobin rotation = new RandomizedRoundRobin();
    private final AttemptTracker attempts;
    private final AdmissionController admission;

    /** Creates the policy of one sidecar; {@code seed} is its only source of randomness. */
    public SidecarPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        context = new PolicyContext(() -> this.settings, actions, new Random(seed), new TimerQueue(actions));
        registry = new EndpointRegistry(context);
        estimator = new ResponseTimeEstimator(context);
        detector = new OutlierDetector(context, estimator);
        limiter = new ConcurrencyLimiter(context, registry, estimator);
        probing = new LoadProbing(context, registry);
        attempts = new AttemptTracker(context, registry, detector, limiter, probing, new HashMap<>());
        TenantQueues queues = new TenantQueues(settings, limiter);
        admission = new AdmissionController(context, registry, rotation, detector, limiter, queues, probing, attempts);
    }

    private void drainQueueAndArmTimer(long now) {
        admission.drainQueue(now);
        context.timers().armTimer();
    }

    @Override
    public void start(long now) {
        registry.watch(now);
        context.timers().armTimer();
    }

    @Override
    public void endpointsUpdated(long now, UpdateKind kind, List<EndpointInfo> endpoints) {
        if (kind == UpdateKind.FAILED) {
            registry.backOff(now);
        } else if (registry.update(now, kind, endpoints)) {
            rotation.shuffle(registry.ready(), context.random());
        }
        drainQueueAndArmTimer(now);
    }

    @Override
    public void requestReceived(long now, Request request) {
        open(now, request, false);
    }

    @Override
    public void requestStarted(long now, Request request) {
        open(now, request, true);
    }

    private void open(long now, Request request, boolean bodyArriving) {
        if (request.requestClass() >= settings.requestClasses().size()) {
            throw new UnknownRequestClassException(request.requestClass());
        }
        long elapsedBefore = estimator.updateAndGetElapsedBefore(request);
        RequestState state = new RequestState(request, settings, elapsedBefore, estimator.expected(request));
        state.bodyArriving = bodyArriving;
        attempts.requests().put(request.id(), state);
        attempts.startClock(now, state);
        limiter.requestArrived(now, state);
        admission.admit(now, state);
        context.timers().armTimer();
    }

    @Override
    public void requestBodyCompleted(long now, long id) {
        RequestState request = attempts.requests().get(id);
        if (request != null && request.bodyArriving) {
            attempts.bodyCompleted(now, request);
            if (request.queued) {
                admission.scheduleQueueExpiry(now, request);
            }
            context.timers().armTimer();
        }
    }

    @Override
    public void bodyNotReplayable(long now, long id) {
        if (attempts.requests().containsKey(id)) {
            attempts.requests().get(id).bodyNotReplayable = true;
        }
    }

    @Override
    public void responseStarted(long now, long id, int attempt, long endpoint, long elapsed) {
        RequestState request = attempts.requests().get(id);
        if (request != null && attempt < request.attempts.size()) {
            request.streaming = true;
            attempts.settle(now, request.attempts.get(attempt), Outcome.OK, request);
            drainQueueAndArmTimer(now);
        }
    }

    @Override
    public void attemptCompleted(long now, AttemptResult result, float[] loadReport) {
        RequestState request = attempts.requests().get(result.request());
        if (request != null && request.isOutstanding(result.attempt())) {
            AttemptState attempt = request.attempts.get(result.attempt());
            if (attempts.attemptCompleted(now, attempt, result.outcome(), request, result.requestCompleted())) {
                admission.admit(now, request);
            }
        }
        drainQueueAndArmTimer(now);
    }

    @Override
    public void healthCheckCompleted(long now, long id, Outcome outcome, long elapsed, float[] load) {
        EndpointState endpoint = registry.find(id);
        if (endpoint != null) {
            detector.healthCheckCompleted(now, endpoint, outcome == Outcome.OK);
            probing.healthCheckCompleted(now, endpoint, outcome, load);
            drainQueueAndArmTimer(now);
        }
    }

    @Override
    public void hostStalled(long now, long nanos) {
        attempts.hostStalled(now, nanos);
    }

    @Override
    public void clientDisconnected(long now, long id) {
        if (attempts.requests().containsKey(id)) {
            attempts.close(attempts.requests().get(id));
        }
    }

    @Override
    public void timerFired(long now, long token) {
        context.timers().fire(now, token);
        drainQueueAndArmTimer(now);
    }

    @Override
    public void settingsChanged(long now, Settings next) {
        settings = next;
        registry.settingsChanged();
        estimator.settingsChanged(); // before the limiter, whose windows depend on it
        limiter.settingsChanged(now);
        drainQueueAndArmTimer(now);
    }

    @Override
    public int ejectedCount(long now) {
        return (int) registry.ready().stream()
                .filter(endpoint -> detector.isEjected(now, endpoint))
                .count();
    }
}

package topazvalve.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The queued requests of all tenants; the tenant that has used the least of its quota goes first. */
final class TenantQueues {
    /** The window of the usage, in multiples of the first class's objective. */
    private static final double USAGE_WINDOW_OBJECTIVES = 4.0;

    private static final double DEFAULT_QUOTA_PER_SECOND = 1;

    private static final class TenantQueue {
        private final ArrayDeque<RequestState> queue = new ArrayDeque<>(); // newest first
        private final double quotaPerSecond;
        private final DecayingSum usedTime = new DecayingSum(0);
        private long skippedInRound; // the last round in which its request could not be sent

        TenantQueue(double quotaPerSecond, double window) {
            this.quotaPerSecond = quotaPerSecond > 0 ? quotaPerSecond : DEFAULT_QUOTA_PER_SECOND;
            this.usedTime.setWindow(0, window);
        }

        /** Returns the response time used in the window, relative to the quota. */
        double usage(long now) {
            return usedTime.value(now) / quotaPerSecond;
        }
    }

    private final ConcurrencyLimiter limiter;
    private final List<TenantQueue> tenants = new ArrayList<>();
    private int queued;
    private long round; // counts the calls to drain

    TenantQueues(Settings settings, ConcurrencyLimiter limiter) {
        this.limiter = limiter;
        double window =
                USAGE_WINDOW_OBJECTIVES * settings.requestClasses().get(0).latencyObjectiveNanos();
        settings.tenants().forEach(each -> tenants.add(new TenantQueue(each.quotaPerSecond(), window)));
        if (tenants.isEmpty()) {
            tenants.add(new TenantQueue(DEFAULT_QUOTA_PER_SECOND, window));
        }
    }

    private TenantQueue tenant(RequestState request) {
        return tenants.get(Math.min(request.request.tenant(), tenants.size() - 1));
    }

    boolean isEmpty() {
        return queued == 0;
    }

    void requestSent(long now, RequestState request) {
        tenant(request).usedTime.add(now, request.expectedTime);
    }

    void enqueue(RequestState request) {
        request.queued = true;
        tenant(request).queue.push(request);
        queued++;
    }

    /** Sends queued requests until there is no tenant left whose request can be sent. */
    void drain(long now, Predicate<RequestState> send) {
        round++;
        for (TenantQueue tenant = leastUsed(now); tenant != null; tenant = leastUsed(now)) {
            RequestState request = next(now, tenant);
            if (request.queued && !send.test(request)) {
                tenant.skippedInRound = round;
            } else {
                tenant.queue.remove(request);
                queued--;
            }
        }
    }

    private TenantQueue leastUsed(long now) {
        TenantQueue least = null;
        for (TenantQueue tenant : tenants) {
            boolean waiting = !tenant.queue.isEmpty() && tenant.skippedInRound != round;
            least = waiting && (least == null || tenant.usage(now) < least.usage(now)) ? tenant : least;
        }
        return least;
    }

    /** Returns the newest request or, if the total limit leaves no room for it, the newest of high priority. */
    private RequestState next(long now, TenantQueue tenant) {
        RequestState newest = tenant.queue.peek();
        if (!newest.queued || !limiter.releaseOverdueAndCheckFull(now, newest)) {
            return newest;
        }
        return tenant.queue.stream().filter(limiter::isNotOutranked).findFirst().orElse(newest);
    }
}

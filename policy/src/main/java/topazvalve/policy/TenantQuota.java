package topazvalve.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Queued requests of all tenants: that with the least of its quota used goes first. */
final class TenantQuota {
    private static final class TenantQueue {
        private final ArrayDeque<RequestState> queue = new ArrayDeque<>(); // newest first
        private final double quotaPerSecond;
        private final DecayingSum usedTime = new DecayingSum(0);
        private long skippedInRound; // its request could not be sent

        TenantQueue(double quotaPerSecond, double window) {
            this.quotaPerSecond = quotaPerSecond > 0 ? quotaPerSecond : 1;
            this.usedTime.setWindow(0, window);
        }

        double usage(long now) {
            return usedTime.value(now) / quotaPerSecond;
        }
    }

    private final ConcurrencyLimiter limiter;
    private final List<TenantQueue> tenants = new ArrayList<>();
    private int queued;
    private long round; // number of the call to drain

    TenantQuota(Settings settings, ConcurrencyLimiter limiter) {
        this.limiter = limiter;
        double window = 4.0 * settings.requestClasses().get(0).latencyObjectiveNanos(); // of recent use
        settings.tenants().forEach(each -> tenants.add(new TenantQueue(each.quotaPerSecond(), window)));
        if (tenants.isEmpty()) {
            tenants.add(new TenantQueue(1, window));
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

    /** The newest request or, where there is no capacity for it, the newest of high priority. */
    private RequestState next(long now, TenantQueue tenant) {
        RequestState newest = tenant.queue.peek();
        if (!newest.queued || !limiter.releaseOverdueAndCheckFull(now, newest)) {
            return newest;
        }
        return tenant.queue.stream().filter(limiter::isNotOutranked).findFirst().orElse(newest);
    }
}

package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.model.RequestGenerator;
import topazvalve.simulation.model.TrafficPattern;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/** All clients: they ask whatever became of earlier requests, wait, give up, and some try once more. */
final class VirtualClients {
    /** What the real host keeps of a client's wait for the answer's way back. */
    private static final long ANSWER_ROOM = 10_000_000;

    private final VirtualWorld world;
    private final Scenario scenario;
    private final List<DelayLine<VirtualCall>> expiries = new ArrayList<>();
    private final List<RequestGenerator> askers = new ArrayList<>();
    private long lastId;

    VirtualClients(VirtualWorld world, long seed, TrafficPattern rhythm) {
        this.world = world;
        this.scenario = world.scenario();
        scenario.classes().forEach(kind -> {
            long room = Math.max(1, kind.deadline() - ANSWER_ROOM);
            expiries.add(new DelayLine<>(world.clock(), room, this::expire));
        });
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            askers.add(new RequestGenerator(scenario, seed, i, rhythm));
        }
    }

    void start() {
        for (int i = 0; i < askers.size(); i++) {
            next(i);
        }
    }

    private void next(int number) {
        RequestGenerator asker = askers.get(number);
        long at = world.clock().now() + Math.max(1, asker.nextGapNanos());
        if (at < world.end()) {
            world.clock().scheduleAt(at, () -> {
                if (asker.arrivesAt(world.elapsed())) {
                    ask(number, asker.next());
                }
                next(number);
            });
        }
    }

    private void ask(int number, RequestGenerator.GeneratedRequest wish) {
        world.tally().asked(wish.requestClass(), world.elapsed());
        submit(number, wish, world.clock().now(), false);
    }

    private void submit(int number, RequestGenerator.GeneratedRequest wish, long firstAt, boolean retry) {
        VirtualInstance instance = world.instances().get(number);
        long now = world.clock().now();
        if (!instance.running()) {
            // Nothing listens: the client sees at once that nothing has run.
            ended(number, wish, Answer.REFUSED, 0, firstAt, retry);
            return;
        }
        long id = ++lastId;
        long deadline = now + wish.patienceNanos();
        Trace trace = new Trace(
                id,
                number,
                scenario.classes().get(wish.requestClass()),
                world.sinceStart(now),
                world.sinceStart(deadline));
        VirtualCall call = new VirtualCall(
                id,
                number,
                trace,
                wish.requestClass(),
                wish.key(),
                wish.work(),
                deadline,
                retry,
                firstAt,
                world.attemptLimit() + 2,
                (ended, answer, wait) -> answered(ended, answer, wait, wish));
        world.oracle().requestSent(trace);
        if (wish.leavesEarly()) {
            world.clock().scheduleAt(deadline, () -> leave(call));
        } else {
            call.expiry = expiries.get(wish.requestClass()).add(call);
        }
        instance.request(call);
    }

    /** A call that is answered, and none of whose attempts is out, needs no look at its end. */
    void forgotten(VirtualCall call) {
        if (call.expiry >= 0) {
            expiries.get(call.requestClass).remove(call.expiry);
        }
    }

    private void expire(VirtualCall call) {
        call.expiry = -1;
        world.instances().get(call.instance).expire(call);
        if (!call.over) {
            world.clock().scheduleAt(call.deadline + scenario.limits().responseSlack() + 1, () -> deadline(call));
        }
    }

    /** The client's time is over and it has no answer. */
    private void deadline(VirtualCall call) {
        if (call.over) {
            return;
        }
        world.oracle().deadlinePassed(call.trace, world.elapsed());
        world.tally().unanswered(call.requestClass, world.sinceStart(call.firstAt));
        world.instances().get(call.instance).hangup(call);
    }

    private void leave(VirtualCall call) {
        if (!call.over) {
            world.oracle().clientDisconnected(call.trace, world.elapsed());
            world.tally().unanswered(call.requestClass, world.sinceStart(call.firstAt));
            world.instances().get(call.instance).hangup(call);
        }
    }

    private void answered(VirtualCall call, Answer answer, long wait, RequestGenerator.GeneratedRequest wish) {
        world.oracle().responseReceived(call.trace, answer, world.elapsed());
        world.digest(call.id, answer);
        if (answer == Answer.SERVED) {
            long took = world.clock().now() + 2 * scenario.network().client() - call.firstAt;
            world.tally().served(call.requestClass, world.sinceStart(call.firstAt), took);
        } else {
            ended(call.instance, wish, answer, wait, call.firstAt, call.retry);
        }
    }

    private void ended(
            int number, RequestGenerator.GeneratedRequest wish, Answer answer, long wait, long firstAt, boolean retry) {
        WorkClass kind = scenario.classes().get(wish.requestClass());
        boolean harmless = answer == Answer.REFUSED || kind.retryIsHarmless();
        if (wish.retries() && !retry && harmless) {
            long pause = wish.honoursRetryAfter() && wait > 0
                    ? Math.max(
                            scenario.clients().backoff(),
                            Math.min(wait, scenario.clients().maxRetryAfter()))
                    : scenario.clients().backoff();
            world.clock().scheduleAt(world.clock().now() + pause, () -> {
                world.tally().retry();
                submit(number, wish, firstAt, true);
            });
        } else if (answer == Answer.REFUSED) {
            world.tally().refused(wish.requestClass(), world.sinceStart(firstAt));
        } else {
            world.tally().failed(wish.requestClass(), world.sinceStart(firstAt));
        }
    }
}

package topazvalve.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.MachineKind.Cancel;
import topazvalve.simulation.scenario.MachineKind.WarmBy;
import topazvalve.simulation.scenario.Scenario.Limits;

/**
 * One order server, on whatever clock: what it does with the attempts that reach it, and what its troubles
 * make of that. Its cores are shared evenly among the attempts in work. How bytes come and go is not its
 * concern.
 */
public final class OrderServer {
    /** What a new connection or an attempt meets. */
    public enum Mode {
        /** Serving. */
        UP,
        /** Takes attempts and answers none. */
        SILENT,
        /** Stands still; connections are made, nothing else happens. */
        FROZEN,
        /** No new connections. */
        REFUSING,
        /** The process has ended: connections are refused. */
        DOWN,
        /** The machine says nothing: connections never come up. */
        VANISHED
    }

    private static final long COLD_STEP = 200_000_000;
    private static final double DONE = 0.5;
    /** Jobs of mean work that chance may add to a cold server's budget of N: at most 2 x root of N + 2. */
    private static final int SLACK_JOBS = 4;

    private final Clock clock;
    private final MachineKind kind;
    private final int kindNumber;
    private final long id;
    private final Pod pod;
    private final double speed;
    private final RandomStreams chance;
    private final Limits limits;
    private final double meanWork;
    private final int slots;
    private final int room;
    private final IdempotencyCache keys;
    private final List<ServerAttempt> running = new ArrayList<>();
    private final ArrayDeque<ServerAttempt> waiting = new ArrayDeque<>();
    private BiConsumer<OrderServer, Double> whenFallen = (server, informed) -> {};

    private ColdServerMonitor coldWatch;

    private Mode mode = Mode.UP;
    private double slower = 1;
    private double spoilt;
    private long pausedUntil;
    private boolean draining;
    private long startedAt;
    private boolean cold;
    private double workSinceStart;
    private ColdCapacityBudget budget;
    private boolean fallen;
    private boolean crowded;
    private long crowdedSince = -1;
    private long restingSince = -1;
    private int connections;
    private int life;
    private double owedWork;

    /** Work that each running attempt has had, in nanoseconds of a standard core. */
    private double progress;

    private long progressAt;
    private double rate;
    private long planned = Long.MAX_VALUE;
    private long plan;

    /** A warm server that has run for long. */
    public OrderServer(
            Clock clock,
            long id,
            MachineKind kind,
            int kindNumber,
            Pod pod,
            Limits limits,
            double meanWork,
            RandomStreams chance) {
        this.clock = clock;
        this.id = id;
        this.kind = kind;
        this.kindNumber = kindNumber;
        this.pod = pod;
        this.limits = limits;
        this.meanWork = meanWork;
        this.chance = chance;
        this.speed = kind.speed().at(chance.part());
        this.slots = Math.max(1, (int) Math.round(kind.slots() * kind.cores()));
        this.room = slots + (int) Math.round(kind.queue() * kind.cores());
        this.keys = kind.knownKeys() > 0 ? new IdempotencyCache(kind.knownKeys() * kind.cores(), kind.keyTime()) : null;
        this.progressAt = clock.now();
        pod.add(this);
        if (kind.pauseEvery() > 0) {
            schedulePause();
        }
    }

    /** Its id, the same over restarts. */
    public long id() {
        return id;
    }

    /** Its kind's place in the scenario. */
    public int kindNumber() {
        return kindNumber;
    }

    /** Its kind. */
    public MachineKind kind() {
        return kind;
    }

    /** Where it stands. */
    public Pod pod() {
        return pod;
    }

    /** When its process last started; 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** What those who connect or ask meet. */
    public Mode mode() {
        return mode;
    }

    /** Whether it was pushed over while cold. */
    public boolean fallen() {
        return fallen;
    }

    /** Connections that are open. */
    public int connections() {
        return connections;
    }

    /** Attempts in work and waiting. */
    public int held() {
        return running.size() + waiting.size();
    }

    /** Tells who pushed it over: the part of the work that came from those who knew of its start. */
    public void onFallen(BiConsumer<OrderServer, Double> listener) {
        whenFallen = listener;
    }

    double fullSpeed() {
        return speed * kind.cores();
    }

    double use() {
        return mode == Mode.UP ? speed * Math.min(kind.cores(), running.size()) : 0;
    }

    // Connections.

    /** Accepts a connection, or says that its table is full. */
    public boolean accept() {
        if (connections >= kind.connections()) {
            return false;
        }
        connections++;
        owedWork += kind.connectionCost();
        return true;
    }

    /** A connection that it accepted in this of its lives has ended. */
    public void closed(int acceptedIn) {
        if (acceptedIn == life) {
            connections--;
        }
    }

    /** Which of its lives this is: a process that ends takes its connections with it. */
    public int life() {
        return life;
    }

    /** Measures what this server is sent while it is cold, in place of letting it fall. */
    public void watchCold(ColdServerMonitor watch) {
        coldWatch = watch;
    }

    private double slack() {
        return Math.min(SLACK_JOBS, 2 * Math.sqrt(budget.allowed() / meanWork) + 2) * meanWork;
    }

    // Attempts.

    /**
     * Takes an attempt that has come whole.
     *
     * @param informed whether its sender knew when this server last started
     */
    public void offer(ServerAttempt job, boolean informed) {
        if (mode == Mode.DOWN || mode == Mode.VANISHED || mode == Mode.SILENT) {
            return;
        }
        long now = clock.now();
        if (cold) {
            budget.offer(now, job.work, presentSpeed(now), informed);
            if (coldWatch != null) {
                coldWatch.window(
                        this, budget.offered() / meanWork, budget.allowed() / meanWork, budget.informedShare());
            } else if (budget.over(slack())) {
                fall();
                job.broken();
                return;
            }
        }
        if (draining || (held() >= room && kind.declines())) {
            job.declined();
            return;
        }
        job.holder = this;
        settle();
        if (running.size() < slots) {
            begin(job);
        } else {
            waiting.add(job);
        }
        watchCrowd(now);
        replan();
    }

    /** The sender has given an attempt up; what that stops is up to the kind. */
    public void cancel(ServerAttempt job) {
        if (job.holder != this || kind.cancel() == Cancel.NOTHING || (job.running && kind.cancel() == Cancel.WAITING)) {
            return;
        }
        settle();
        if (job.running) {
            running.remove(job);
        } else {
            waiting.remove(job);
        }
        job.holder = null;
        job.dropped();
        refill();
        replan();
    }

    private void begin(ServerAttempt job) {
        double work = job.work + owedWork;
        owedWork = 0;
        if (keys != null && job.key != 0 && keys.meet(job.key, clock.now())) {
            work -= job.work * kind.keyGain();
        }
        job.finish = progress + work;
        job.running = true;
        running.add(job);
        job.began();
    }

    private void refill() {
        while (running.size() < slots && !waiting.isEmpty()) {
            ServerAttempt next = waiting.poll();
            if (kind.honoursDeadline() && clock.now() > next.deadline) {
                next.holder = null;
                next.dropped();
            } else {
                begin(next);
            }
        }
    }

    /** Brings the progress up to now, at the rate that held until now. */
    void settle() {
        long now = clock.now();
        double done = rate * (now - progressAt);
        progress += done;
        if (cold) {
            workSinceStart += done * running.size();
        }
        progressAt = now;
    }

    /** What all cores do together, in work a nanosecond, but for stand-stills. */
    private double presentSpeed(long now) {
        double warmth = warmth(now);
        return fullSpeed() * warmth / slower / (crowded ? kind.crowdedSlower() : 1) * pod.factor();
    }

    private double warmth(long now) {
        if (!cold) {
            return 1;
        }
        double part = kind.coldTime() == 0 ? 1 : (double) (now - startedAt) / kind.coldTime();
        if (kind.warmBy() == WarmBy.WORK && kind.coldTime() > 0) {
            // Half the work that a warm one does in the time makes it warm before the time is over.
            part = Math.max(part, workSinceStart / (0.5 * fullSpeed() * kind.coldTime()));
        }
        if (part >= 1) {
            cold = false;
            return 1;
        }
        return kind.coldShare() + (1 - kind.coldShare()) * part;
    }

    /** Works out the rate that holds from now on and when the next attempt is done. */
    void replan() {
        long now = clock.now();
        boolean still = (mode != Mode.UP && mode != Mode.REFUSING) || now < pausedUntil || running.isEmpty();
        rate = still ? 0 : presentSpeed(now) / Math.max(kind.cores(), running.size());
        if (rate == 0) {
            planned = Long.MAX_VALUE;
            plan++;
            return;
        }
        double least = Double.MAX_VALUE;
        for (int i = 0; i < running.size(); i++) {
            least = Math.min(least, running.get(i).finish);
        }
        long at = now + Math.max(0, (long) Math.ceil((least - progress) / rate));
        if (at != planned) {
            planned = at;
            long mine = ++plan;
            clock.at(at, () -> finishDue(mine));
        }
    }

    private void finishDue(long mine) {
        if (mine != plan) {
            return;
        }
        planned = Long.MAX_VALUE;
        settle();
        for (int i = running.size() - 1; i >= 0; i--) {
            ServerAttempt job = running.get(i);
            if (job.finish <= progress + DONE) {
                running.remove(i);
                job.holder = null;
                job.served(!chance.happens(kind.errors()), chance.happens(spoilt));
            }
        }
        refill();
        watchCrowd(clock.now());
        replan();
    }

    /** Held by more than it bears for long enough, it turns slow, and stays so until it has rested. */
    private void watchCrowd(long now) {
        if (kind.crowdedAt() == 0) {
            return;
        }
        double held = (double) held() / kind.cores();
        if (!crowded) {
            crowdedSince = held < kind.crowdedAt() ? -1 : crowdedSince < 0 ? now : crowdedSince;
            crowded = crowdedSince >= 0 && now - crowdedSince >= kind.crowdedAfter();
            restingSince = -1;
        } else {
            restingSince = held > kind.crowdedAt() / 4 ? -1 : restingSince < 0 ? now : restingSince;
            crowded = restingSince < 0 || now - restingSince < kind.crowdedRest();
            crowdedSince = -1;
        }
    }

    // Troubles.

    private void change(Runnable what) {
        settle();
        what.run();
        replan();
    }

    /** From now on it runs so many times slower; 1 is its own speed. */
    public void slower(double times) {
        change(() -> slower = times);
    }

    /** From now on this part of its answers is spoilt. */
    public void spoil(double part) {
        spoilt = part;
    }

    /** From now on it serves, is silent, stands still or refuses; a silent one never answers what it took. */
    public void mode(Mode next) {
        change(() -> {
            mode = next;
            if (next == Mode.SILENT) {
                forget();
            }
        });
    }

    private void forget() {
        running.forEach(each -> each.holder = null);
        waiting.forEach(each -> each.holder = null);
        running.clear();
        waiting.clear();
    }

    /** Declines what is new and goes on with what it has. */
    public void drain() {
        draining = true;
    }

    /** Breaks every attempt that it holds. */
    public void breakAll() {
        settle();
        List<ServerAttempt> held = new ArrayList<>(running);
        held.addAll(waiting);
        forget();
        held.forEach(ServerAttempt::broken);
        replan();
    }

    /** The process ends: what it holds is broken, or lost without a word where the whole machine goes. */
    public void stop(boolean silently) {
        settle();
        if (silently) {
            forget();
        } else {
            breakAll();
        }
        mode = silently ? Mode.VANISHED : Mode.DOWN;
        connections = 0;
        life++;
        replan();
    }

    /** The process starts, cold. A server that was pushed over stays down. */
    public void start() {
        if (fallen) {
            return;
        }
        long now = clock.now();
        mode = Mode.UP;
        draining = false;
        startedAt = now;
        progressAt = now;
        workSinceStart = 0;
        crowded = false;
        crowdedSince = -1;
        cold = kind.coldShare() < 1;
        budget = new ColdCapacityBudget(limits.tipAfter(), limits.overloadFactor());
        if (keys != null) {
            keys.clear();
        }
        warmUp();
    }

    private void warmUp() {
        if (cold && mode != Mode.DOWN) {
            settle();
            replan();
            clock.at(clock.now() + COLD_STEP, this::warmUp);
        }
    }

    private void fall() {
        fallen = true;
        double informed = budget.informedShare();
        stop(false);
        whenFallen.accept(this, informed);
    }

    /** It is gone for good. */
    public void remove() {
        stop(false);
        pod.remove(this);
    }

    private void schedulePause() {
        long at = clock.now() + (long) chance.exponential(kind.pauseEvery());
        clock.at(at, () -> {
            long length = (long) (kind.pause() * (0.5 + chance.part()));
            pause(length);
            schedulePause();
        });
    }

    /** Stands still for so long. */
    public void pause(long length) {
        settle();
        pausedUntil = Math.max(pausedUntil, clock.now() + length);
        replan();
        clock.at(pausedUntil, () -> {
            settle();
            replan();
        });
    }
}

package topazvalve.simulation.model;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.BiConsumer;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.MachineKind.Cancel;
import topazvalve.simulation.scenario.Scenario.Limits;

/**
 * One order server, on either clock: its queue and processor, its connections, and the effect of faults on them. Bytes
 * and sockets are the caller's concern.
 */
public final class OrderServer {
    /** How the server treats connections and attempts. */
    public enum Mode {
        /** It serves. */
        UP,
        /** It takes attempts and never responds. */
        SILENT,
        /** It accepts connections, and nothing else happens. */
        FROZEN,
        /** It refuses new connections. */
        REFUSING,
        /** The process has ended: connections are refused. */
        DOWN,
        /** The machine is unreachable: connections are never established. */
        VANISHED
    }

    private static final long WARM_UP_STEP_NANOS = 200_000_000;
    /** A pause takes the mean length times a factor that is uniform from this one to this one plus 1. */
    private static final double MIN_PAUSE_FACTOR = 0.5;

    private final Clock clock;
    private final MachineKind kind;
    private final int kindNumber;
    private final long id;
    private final Pod pod;
    private final double fullSpeed;
    private final double coreSpeed;
    private final RandomStream random;
    private final Limits limits;
    private final double meanWork;
    private final int slots;
    private final int capacity;
    private final IdempotencyCache idempotencyCache;
    private final SharedProcessor processor;
    private final ArrayDeque<ServerAttempt> queue = new ArrayDeque<>();
    private final WarmUp warmUp;
    private final CongestionDetector congestion;
    private BiConsumer<OrderServer, Double> coldCrashListener = (server, informedFraction) -> {};

    private ColdServerMonitor coldServerMonitor;
    private ColdLoadWindow coldLoad;
    private boolean crashedWhileCold;

    private Mode mode = Mode.UP;
    private boolean draining;
    private double slowdown = 1;
    private double corruptionRate;
    private long pausedUntil;
    private int connections;
    private int incarnation;
    /** Work of accepting connections that the next attempt to start has to do first. */
    private double connectionWork;

    /**
     * Creates a warm server that has run for long.
     *
     * @param kindNumber the index of its kind in the scenario
     * @param meanWork mean work of a request in nanoseconds of a standard core
     * @param random its own stream of random numbers
     */
    public OrderServer(
            Clock clock,
            long id,
            MachineKind kind,
            int kindNumber,
            Pod pod,
            Limits limits,
            double meanWork,
            RandomStream random) {
        this.clock = clock;
        this.id = id;
        this.kind = kind;
        this.kindNumber = kindNumber;
        this.pod = pod;
        this.limits = limits;
        this.meanWork = meanWork;
        this.random = random;
        this.coreSpeed = kind.speed().at(random.nextDouble());
        this.fullSpeed = coreSpeed * kind.cores();
        this.slots = Math.max(1, (int) Math.round(kind.slotsPerCore() * kind.cores()));
        this.capacity = slots + (int) Math.round(kind.queuePerCore() * kind.cores());
        this.idempotencyCache = kind.cachedKeysPerCore() > 0
                ? new IdempotencyCache(kind.cachedKeysPerCore() * kind.cores(), kind.keyRetention())
                : null;
        this.processor = new SharedProcessor(clock, kind.cores(), this::completionDue);
        this.warmUp = new WarmUp(kind, fullSpeed);
        this.congestion = new CongestionDetector(kind);
        pod.add(this);
        if (kind.meanPauseInterval() > 0) {
            schedulePause();
        }
    }

    /** Returns its id, which stays the same over restarts. */
    public long id() {
        return id;
    }

    /** Returns the index of its kind in the scenario. */
    public int kindNumber() {
        return kindNumber;
    }

    /** Returns its kind of machine. */
    public MachineKind kind() {
        return kind;
    }

    /** Returns the pod that it belongs to. */
    public Pod pod() {
        return pod;
    }

    /** Returns when its process last started, in nanoseconds of the clock; 0 for long ago. */
    public long startedAt() {
        return warmUp.startedAt();
    }

    /** Returns how it treats connections and attempts now. */
    public Mode mode() {
        return mode;
    }

    /** Returns whether it crashed under overload while it was cold; it doesn't start again then. */
    public boolean crashedWhileCold() {
        return crashedWhileCold;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections;
    }

    /** Returns the number of attempts that are running or queued. */
    public int attemptsHeld() {
        return processor.runningCount() + queue.size();
    }

    /**
     * Sets the listener for a crash under overload while cold. Its second argument is the fraction (0 to 1) of the
     * work whose senders knew of the server's start.
     */
    public void onColdCrash(BiConsumer<OrderServer, Double> listener) {
        coldCrashListener = listener;
    }

    /** Measures the load of this server while it is cold; it no longer crashes. */
    public void monitorColdLoad(ColdServerMonitor monitor) {
        coldServerMonitor = monitor;
    }

    /** Returns the work a nanosecond that all cores do when warm. */
    double fullSpeed() {
        return fullSpeed;
    }

    /** Returns the work a nanosecond of the cores that have something to do, when warm. */
    double speedInUse() {
        return mode == Mode.UP ? coreSpeed * Math.min(kind.cores(), processor.runningCount()) : 0;
    }

    // Connections.

    /** Accepts a connection, or returns false if it has as many as it can hold. */
    public boolean acceptConnection() {
        if (connections >= kind.maxConnections()) {
            return false;
        }
        connections++;
        connectionWork += kind.connectionCost();
        return true;
    }

    /**
     * A connection has closed. Without effect if the process that accepted it has ended.
     *
     * @param acceptedIn the {@link #incarnation} in which it was accepted
     */
    public void connectionClosed(int acceptedIn) {
        if (acceptedIn == incarnation) {
            connections--;
        }
    }

    /** Returns the number of its present process. A process that ends takes its connections with it. */
    public int incarnation() {
        return incarnation;
    }

    // Attempts.

    /**
     * Takes an attempt that has arrived completely: starts, queues, rejects or ignores it, or crashes under it.
     *
     * @param senderInformed whether its sender knew when this server last started
     */
    public void offer(ServerAttempt attempt, boolean senderInformed) {
        if (mode == Mode.DOWN || mode == Mode.VANISHED || mode == Mode.SILENT) {
            return;
        }
        long now = clock.now();
        if (warmUp.isCold() && crashesUnder(attempt, senderInformed, now)) {
            crash();
            attempt.reset();
            return;
        }
        if (draining || (attemptsHeld() >= capacity && kind.rejectsWhenFull())) {
            attempt.rejected();
            return;
        }
        attempt.server = this;
        advance();
        if (processor.runningCount() < slots) {
            start(attempt);
        } else {
            queue.add(attempt);
        }
        updateCongestion(now);
        reschedule();
    }

    private boolean crashesUnder(ServerAttempt attempt, boolean senderInformed, long now) {
        coldLoad.record(now, attempt.work, presentSpeed(now), senderInformed);
        if (coldServerMonitor != null) {
            coldServerMonitor.coldLoadMeasured(
                    this, coldLoad.offeredRequests(), coldLoad.allowedRequests(), coldLoad.informedFraction());
            return false;
        }
        return coldLoad.isOverloaded();
    }

    /** The sender has cancelled an attempt. The kind of machine decides whether that stops it. */
    public void cancel(ServerAttempt attempt) {
        if (attempt.server != this || !stopsOnCancel(attempt)) {
            return;
        }
        advance();
        if (attempt.running) {
            processor.remove(attempt);
        } else {
            queue.remove(attempt);
        }
        attempt.server = null;
        attempt.discarded();
        startQueued();
        reschedule();
    }

    private boolean stopsOnCancel(ServerAttempt attempt) {
        return kind.cancel() == Cancel.ALL || (kind.cancel() == Cancel.WAITING && !attempt.running);
    }

    private void start(ServerAttempt attempt) {
        double work = attempt.work + connectionWork;
        connectionWork = 0;
        if (idempotencyCache != null && attempt.key != 0 && idempotencyCache.recordAndCheck(attempt.key, clock.now())) {
            work -= attempt.work * kind.cachedKeySaving();
        }
        processor.start(attempt, work);
        attempt.started();
    }

    private void startQueued() {
        while (processor.runningCount() < slots && !queue.isEmpty()) {
            ServerAttempt next = queue.poll();
            if (kind.honoursDeadline() && clock.now() > next.deadline) {
                next.server = null;
                next.discarded();
            } else {
                start(next);
            }
        }
    }

    private void completionDue() {
        advance();
        processor.removeFinished(this::complete);
        startQueued();
        updateCongestion(clock.now());
        reschedule();
    }

    private void complete(ServerAttempt attempt) {
        attempt.server = null;
        boolean success = !random.nextBoolean(kind.errorRate());
        boolean corrupted = random.nextBoolean(corruptionRate);
        attempt.completed(success, corrupted);
    }

    /** Removes all attempts, the running ones first, without a response. */
    private List<ServerAttempt> removeAllAttempts() {
        List<ServerAttempt> removed = processor.removeAll();
        removed.addAll(queue);
        queue.clear();
        removed.forEach(each -> each.server = null);
        return removed;
    }

    // Speed.

    /** Accounts for the work done until now, at the speed that held until now. */
    void advance() {
        warmUp.addWork(processor.advance());
    }

    /** Applies the speed that holds from now on, and schedules the next completion. */
    void reschedule() {
        long now = clock.now();
        boolean serving = mode == Mode.UP || mode == Mode.REFUSING;
        if (serving && now >= pausedUntil && processor.runningCount() > 0) {
            processor.run(presentSpeed(now));
        } else {
            processor.halt();
        }
    }

    /** Returns the work a nanosecond that all cores do now, pauses aside. */
    private double presentSpeed(long now) {
        return fullSpeed * warmUp.speedFraction(now) / slowdown / congestion.slowdown() * pod.speedFactor();
    }

    private void updateCongestion(long now) {
        congestion.update(now, (double) attemptsHeld() / kind.cores());
    }

    // Faults.

    /** Makes the server this many times slower from now on; 1 restores its own speed. */
    public void setSlowdown(double times) {
        advance();
        slowdown = times;
        reschedule();
    }

    /** Sets the fraction (0 to 1) of responses that are damaged from now on. */
    public void setCorruptionRate(double rate) {
        corruptionRate = rate;
    }

    /** Sets how it treats connections and attempts. A server that turns silent never responds to those it holds. */
    public void setMode(Mode next) {
        advance();
        mode = next;
        if (next == Mode.SILENT) {
            removeAllAttempts();
        }
        reschedule();
    }

    /** Rejects new attempts from now on, and finishes those that it holds. */
    public void drain() {
        draining = true;
    }

    /** Resets every attempt that it holds. */
    public void resetAll() {
        advance();
        removeAllAttempts().forEach(ServerAttempt::reset);
        reschedule();
    }

    /**
     * Ends the process.
     *
     * @param silently true if the whole machine disappears: attempts are lost without a reset
     */
    public void stop(boolean silently) {
        advance();
        if (silently) {
            removeAllAttempts();
        } else {
            resetAll();
        }
        mode = silently ? Mode.VANISHED : Mode.DOWN;
        connections = 0;
        incarnation++;
        reschedule();
    }

    /** Starts the process, cold. A server that crashed while cold stays down. */
    public void start() {
        if (crashedWhileCold) {
            return;
        }
        mode = Mode.UP;
        draining = false;
        processor.skipToPresent();
        warmUp.start(clock.now());
        congestion.reset();
        coldLoad = new ColdLoadWindow(limits.coldLoadWindow(), limits.overloadFactor(), meanWork);
        if (idempotencyCache != null) {
            idempotencyCache.clear();
        }
        updateWarmUp();
    }

    private void updateWarmUp() {
        if (warmUp.isCold() && mode != Mode.DOWN) {
            advance();
            reschedule();
            clock.scheduleAt(clock.now() + WARM_UP_STEP_NANOS, this::updateWarmUp);
        }
    }

    private void crash() {
        crashedWhileCold = true;
        double informedFraction = coldLoad.informedFraction();
        stop(false);
        coldCrashListener.accept(this, informedFraction);
    }

    /** Ends the process for good and leaves the pod. */
    public void decommission() {
        stop(false);
        pod.remove(this);
    }

    private void schedulePause() {
        long at = clock.now() + (long) random.nextExponential(kind.meanPauseInterval());
        clock.scheduleAt(at, () -> {
            long length = (long) (kind.meanPause() * (MIN_PAUSE_FACTOR + random.nextDouble()));
            pause(length);
            schedulePause();
        });
    }

    private void pause(long nanos) {
        advance();
        pausedUntil = Math.max(pausedUntil, clock.now() + nanos);
        reschedule();
        clock.scheduleAt(pausedUntil, () -> {
            advance();
            reschedule();
        });
    }
}

package topazvalve.simulation.model;

import java.util.function.BiConsumer;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.Scenario.Limits;

/**
 * One order server, in virtual or real time. It combines its connections, the attempts that it holds, its speed and its
 * crash under load while cold, and applies faults to them. The transport is up to the caller.
 */
public final class OrderServer {
    private static final long WARM_UP_STEP_NANOS = 200_000_000;

    private final Clock clock;
    private final MachineKind kind;
    private final int kindIndex;
    private final long id;
    private final Pod pod;
    private final ServerSpeed speed;
    private final ConnectionCounter connections;
    private final SharedProcessor processor;
    private final AttemptScheduler attempts;
    private final ColdCrashDetector coldCrash;
    private final ExtraDataFault extraData;
    private final DelayedFault slowBodies;
    private BiConsumer<OrderServer, Double> coldCrashListener = (server, informedFraction) -> {};

    private ServerMode mode = ServerMode.UP;
    private boolean draining;
    private boolean crashedWhileCold;

    /**
     * Creates a server that is already warm.
     *
     * @param kindIndex the index of its kind in the scenario
     * @param meanWork mean work of a request in nanoseconds of a standard core
     * @param random its own stream of random numbers
     */
    public OrderServer(
            Clock clock,
            long id,
            MachineKind kind,
            int kindIndex,
            Pod pod,
            Limits limits,
            double meanWork,
            RandomStream random) {
        this.clock = clock;
        this.id = id;
        this.kind = kind;
        this.kindIndex = kindIndex;
        this.pod = pod;
        this.speed = new ServerSpeed(kind, pod, kind.speed().interpolate(random.nextDouble()));
        this.connections = new ConnectionCounter(kind);
        this.processor = new SharedProcessor(clock, kind.cores(), this::completionDue);
        this.attempts = new AttemptScheduler(clock, this, connections, random, processor);
        this.coldCrash = new ColdCrashDetector(this, limits, meanWork);
        this.extraData = new ExtraDataFault(RandomStream.named(id, "extra-data"));
        this.slowBodies = new DelayedFault(RandomStream.named(id, "slow-bodies"));
        pod.add(this);
        new PauseGenerator(clock, random, this, speed).start();
    }

    /** Returns its id, which stays the same over restarts. */
    public long id() {
        return id;
    }

    /** Returns the index of its kind in the scenario. */
    public int kindIndex() {
        return kindIndex;
    }

    /** Returns its kind of machine. */
    public MachineKind kind() {
        return kind;
    }

    /** Returns its pod. */
    public Pod pod() {
        return pod;
    }

    /** Returns when its process last started, in nanoseconds of the clock; 0 for before the run. */
    public long startedAt() {
        return speed.startedAt();
    }

    /** Returns how it currently treats connections and attempts. */
    public ServerMode mode() {
        return mode;
    }

    /** Returns whether it crashed under overload while it was cold; it does not start again in that case. */
    public boolean crashedWhileCold() {
        return crashedWhileCold;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.open();
    }

    /** Returns the number of attempts that are running or queued. */
    public int attemptsHeld() {
        return attempts.held();
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
        coldCrash.setMonitor(monitor);
    }

    /** Returns the work per nanosecond that all cores do when warm. */
    double fullSpeed() {
        return speed.full();
    }

    /** Returns the work per nanosecond that the busy cores do when warm. */
    double speedInUse() {
        return mode == ServerMode.UP ? speed.ofCoresInUse(processor.runningCount()) : 0;
    }

    // Connections.

    /** Accepts a connection, or returns false if it already has the maximum number. */
    public boolean acceptConnection() {
        return connections.accept();
    }

    /**
     * A connection has closed. Ignored if the process that accepted it has ended.
     *
     * @param acceptingIncarnation the {@link #incarnation} in which it was accepted
     */
    public void connectionClosed(int acceptingIncarnation) {
        connections.closed(acceptingIncarnation);
    }

    /** Returns the number of its current process. Connections end with the process that accepted them. */
    public int incarnation() {
        return connections.incarnation();
    }

    // Attempts.

    /**
     * Receives a complete attempt: starts, queues, rejects or ignores it, or crashes under it.
     *
     * @param senderInformed whether its sender knew when this server last started
     */
    public void offer(ServerAttempt attempt, boolean senderInformed) {
        if (!mode.takesAttempts()) {
            return;
        }
        long now = clock.now();
        if (speed.isCold() && coldCrash.crashesUnder(attempt, speed.current(now), senderInformed, now)) {
            crash();
            attempt.reset();
            return;
        }
        if (draining || attempts.rejectsNewAttempts()) {
            attempt.rejected();
            return;
        }
        advance();
        attempts.add(attempt);
        speed.updateCongestion(now, attemptsHeld());
        reschedule();
    }

    /** The sender has cancelled an attempt. The kind of machine decides whether that stops it. */
    public void cancel(ServerAttempt attempt) {
        if (attempts.stopsOnCancel(attempt)) {
            advance();
            attempts.remove(attempt);
            reschedule();
        }
    }

    private void completionDue() {
        advance();
        attempts.completeFinished();
        attempts.startQueued();
        speed.updateCongestion(clock.now(), attemptsHeld());
        reschedule();
    }

    // Speed.

    /** Accounts for the work done since the last call, at the speed that applied until now. */
    void advance() {
        speed.addWork(processor.advance());
    }

    /** Sets the processor to the current speed, and schedules the next completion. */
    void reschedule() {
        long now = clock.now();
        if (mode.isProcessing() && !speed.isPaused(now) && processor.runningCount() > 0) {
            processor.run(speed.current(now));
        } else {
            processor.halt();
        }
    }

    // Faults.

    /** Divides the speed of the server by a factor from now on; 1 restores its normal speed. */
    public void setSlowdown(double factor) {
        advance();
        speed.setSlowdown(factor);
        reschedule();
    }

    /** Sets which fraction (0 to 1) of the responses is followed by extra data, up to this much later; 0 ends it. */
    public void setExtraData(double rate, long maxDelayNanos) {
        extraData.set(rate, maxDelayNanos);
    }

    /** Returns the fault that lets extra data follow its responses. */
    public ExtraDataFault extraData() {
        return extraData;
    }

    /** Sets which fraction (0 to 1) of the responses is long, with a body up to this much after the head; 0 ends it. */
    public void setSlowBodies(double rate, long maxDelayNanos) {
        slowBodies.set(rate, maxDelayNanos);
    }

    /** Returns the fault that makes its responses long and their bodies late. */
    public DelayedFault slowBodies() {
        return slowBodies;
    }

    /** Sets the fraction (0 to 1) of responses that are corrupted from now on. */
    public void setCorruptionRate(double rate) {
        attempts.setCorruptionRate(rate);
    }

    /**
     * Sets how it treats connections and attempts. A server that becomes silent never responds to attempts it holds.
     */
    public void setMode(ServerMode newMode) {
        advance();
        mode = newMode;
        if (newMode == ServerMode.SILENT) {
            attempts.removeAll();
        }
        reschedule();
    }

    /** Starts draining: rejects new attempts from now on, and finishes those that it holds. */
    public void drain() {
        draining = true;
    }

    /** Resets every attempt that it holds. */
    public void resetAll() {
        advance();
        attempts.removeAll().forEach(ServerAttempt::reset);
        reschedule();
    }

    // The process.

    /**
     * Ends the process.
     *
     * @param silently true if the whole machine becomes unreachable: attempts are lost without a reset
     */
    public void stop(boolean silently) {
        advance();
        if (silently) {
            attempts.removeAll();
        } else {
            resetAll();
        }
        mode = silently ? ServerMode.VANISHED : ServerMode.DOWN;
        connections.processEnded();
        reschedule();
    }

    /** Starts the process, cold. A server that crashed while cold stays down. */
    public void start() {
        if (crashedWhileCold) {
            return;
        }
        mode = ServerMode.UP;
        draining = false;
        processor.skipToNow();
        speed.processStarted(clock.now());
        coldCrash.processStarted();
        attempts.processStarted();
        updateWarmUp();
    }

    private void updateWarmUp() {
        if (speed.isCold() && mode != ServerMode.DOWN) {
            advance();
            reschedule();
            clock.scheduleAt(clock.now() + WARM_UP_STEP_NANOS, this::updateWarmUp);
        }
    }

    private void crash() {
        crashedWhileCold = true;
        double informedFraction = coldCrash.informedFraction();
        stop(false);
        coldCrashListener.accept(this, informedFraction);
    }

    /** Ends the process permanently and removes the server from its pod. */
    public void decommission() {
        stop(false);
        pod.remove(this);
    }
}

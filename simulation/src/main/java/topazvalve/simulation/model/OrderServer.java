package topazvalve.simulation.model;

import java.util.function.BiConsumer;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.Scenario.Limits;

/**
 * One order server, on either clock. It puts together its connections, the attempts that it holds, its speed and the
 * load under which it crashes while cold, and applies faults to them. Bytes and sockets are the caller's concern.
 */
public final class OrderServer {
    private static final long WARM_UP_STEP_NANOS = 200_000_000;

    private final Clock clock;
    private final MachineKind kind;
    private final int kindNumber;
    private final long id;
    private final Pod pod;
    private final ServerSpeed speed;
    private final ConnectionCounter connections;
    private final SharedProcessor processor;
    private final AttemptScheduler attempts;
    private final ColdCrashDetector coldCrash;
    private BiConsumer<OrderServer, Double> coldCrashListener = (server, informedFraction) -> {};

    private ServerMode mode = ServerMode.UP;
    private boolean draining;
    private boolean crashedWhileCold;

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
        this.speed = new ServerSpeed(kind, pod, kind.speed().at(random.nextDouble()));
        this.connections = new ConnectionCounter(kind);
        this.processor = new SharedProcessor(clock, kind.cores(), this::completionDue);
        this.attempts = new AttemptScheduler(clock, this, connections, random, processor);
        this.coldCrash = new ColdCrashDetector(this, limits, meanWork);
        pod.add(this);
        new PauseGenerator(clock, random, this, speed).start();
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
        return speed.startedAt();
    }

    /** Returns how it treats connections and attempts now. */
    public ServerMode mode() {
        return mode;
    }

    /** Returns whether it crashed under overload while it was cold; it doesn't start again then. */
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

    /** Returns the work a nanosecond that all cores do when warm. */
    double fullSpeed() {
        return speed.full();
    }

    /** Returns the work a nanosecond of the cores that have something to do, when warm. */
    double speedInUse() {
        return mode == ServerMode.UP ? speed.ofCoresInUse(processor.runningCount()) : 0;
    }

    // Connections.

    /** Accepts a connection, or returns false if it has as many as it can hold. */
    public boolean acceptConnection() {
        return connections.accept();
    }

    /**
     * A connection has closed. Without effect if the process that accepted it has ended.
     *
     * @param acceptedIn the {@link #incarnation} in which it was accepted
     */
    public void connectionClosed(int acceptedIn) {
        connections.closed(acceptedIn);
    }

    /** Returns the number of its present process. A process that ends takes its connections with it. */
    public int incarnation() {
        return connections.incarnation();
    }

    // Attempts.

    /**
     * Takes an attempt that has arrived completely: starts, queues, rejects or ignores it, or crashes under it.
     *
     * @param senderInformed whether its sender knew when this server last started
     */
    public void offer(ServerAttempt attempt, boolean senderInformed) {
        if (!mode.takesAttempts()) {
            return;
        }
        long now = clock.now();
        if (speed.isCold() && coldCrash.crashesUnder(attempt, speed.present(now), senderInformed, now)) {
            crash();
            attempt.reset();
            return;
        }
        if (draining || attempts.rejectsFurther()) {
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

    /** Accounts for the work done until now, at the speed that held until now. */
    void advance() {
        speed.addWork(processor.advance());
    }

    /** Applies the speed that holds from now on, and schedules the next completion. */
    void reschedule() {
        long now = clock.now();
        if (mode.works() && !speed.isPaused(now) && processor.runningCount() > 0) {
            processor.run(speed.present(now));
        } else {
            processor.halt();
        }
    }

    // Faults.

    /** Makes the server this many times slower from now on; 1 restores its own speed. */
    public void setSlowdown(double times) {
        advance();
        speed.setSlowdown(times);
        reschedule();
    }

    /** Sets the fraction (0 to 1) of responses that are damaged from now on. */
    public void setCorruptionRate(double rate) {
        attempts.setCorruptionRate(rate);
    }

    /** Sets how it treats connections and attempts. A server that turns silent never responds to those it holds. */
    public void setMode(ServerMode next) {
        advance();
        mode = next;
        if (next == ServerMode.SILENT) {
            attempts.removeAll();
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
        attempts.removeAll().forEach(ServerAttempt::reset);
        reschedule();
    }

    // The process.

    /**
     * Ends the process.
     *
     * @param silently true if the whole machine disappears: attempts are lost without a reset
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
        processor.skipToPresent();
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

    /** Ends the process for good and leaves the pod. */
    public void decommission() {
        stop(false);
        pod.remove(this);
    }
}

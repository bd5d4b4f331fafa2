package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;

/** A group of servers in one zone that may share a capacity limit. Discovery does not list which pods have one. */
public final class Pod {
    private static final long UPDATE_INTERVAL_NANOS = 50_000_000;
    /** Smaller changes of the speed factor are ignored. */
    private static final double MIN_FACTOR_CHANGE = 0.01;

    private final int number;
    private final int zone;
    private final double capacityLimit;
    private final List<OrderServer> servers = new ArrayList<>();
    private double speedFactor = 1;

    /**
     * Creates an empty pod.
     *
     * @param capacityLimit the fraction of the servers' total capacity that they may use together; 1 for no limit
     */
    public Pod(Clock clock, int number, int zone, double capacityLimit) {
        this.number = number;
        this.zone = zone;
        this.capacityLimit = capacityLimit;
        if (capacityLimit < 1) {
            clock.scheduleAt(clock.now() + UPDATE_INTERVAL_NANOS, () -> updateSpeedFactor(clock));
        }
    }

    /** Returns its number, which discovery lists. */
    public int number() {
        return number;
    }

    /** Returns the index of its zone. */
    public int zone() {
        return zone;
    }

    void add(OrderServer server) {
        servers.add(server);
    }

    void remove(OrderServer server) {
        servers.remove(server);
    }

    /** Returns the factor (0 to 1) by which the limit slows each server. */
    double speedFactor() {
        return speedFactor;
    }

    private void updateSpeedFactor(Clock clock) {
        double inUse = 0;
        double capacity = 0;
        for (OrderServer each : servers) {
            inUse += each.speedInUse();
            capacity += each.fullSpeed();
        }
        double newFactor = inUse == 0 ? 1 : Math.min(1, capacityLimit * capacity / inUse);
        if (Math.abs(newFactor - speedFactor) > MIN_FACTOR_CHANGE) {
            servers.forEach(OrderServer::advance);
            speedFactor = newFactor;
            servers.forEach(OrderServer::reschedule);
        }
        clock.scheduleAt(clock.now() + UPDATE_INTERVAL_NANOS, () -> updateSpeedFactor(clock));
    }
}

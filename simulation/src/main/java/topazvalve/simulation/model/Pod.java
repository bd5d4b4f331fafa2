package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;

/** Servers of one zone that may share a limit; nobody is told which pods do. */
public final class Pod {
    private static final long LOOK = 50_000_000;
    private final int number;
    private final int zone;
    private final double limit;
    private final List<OrderServer> members = new ArrayList<>();
    private double factor = 1;

    /** {@code limit} is a part of the members' capacity together; 1 for none. */
    public Pod(Clock clock, int number, int zone, double limit) {
        this.number = number;
        this.zone = zone;
        this.limit = limit;
        if (limit < 1) {
            clock.at(clock.now() + LOOK, () -> look(clock));
        }
    }

    /** Its number, which the list shows. */
    public int number() {
        return number;
    }

    /** The zone that all of it is in. */
    public int zone() {
        return zone;
    }

    void add(OrderServer member) {
        members.add(member);
    }

    void remove(OrderServer member) {
        members.remove(member);
    }

    double factor() {
        return factor;
    }

    private void look(Clock clock) {
        double use = 0;
        double all = 0;
        for (OrderServer each : members) {
            use += each.use();
            all += each.fullSpeed();
        }
        double next = use == 0 ? 1 : Math.min(1, limit * all / use);
        if (Math.abs(next - factor) > 0.01) {
            members.forEach(OrderServer::settle);
            factor = next;
            members.forEach(OrderServer::replan);
        }
        clock.at(clock.now() + LOOK, () -> look(clock));
    }
}

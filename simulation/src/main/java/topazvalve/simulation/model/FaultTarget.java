package topazvalve.simulation.model;

import java.util.List;

/** What faults act upon: the same in virtual time and on real sockets. */
public interface FaultTarget {
    /** The clock. */
    Clock clock();

    /** What stands on it. */
    Topology scene();

    /** Kills an instance and starts it anew. */
    void restartInstance(int number);

    /** A server under a new id takes another's place, at its address or at another one. */
    OrderServer replace(OrderServer old, boolean sameAddress);

    /** Something has begun or ended, for the record. */
    void note(String what);

    /** The servers that are there now. */
    default List<OrderServer> servers() {
        return scene().fleet().servers();
    }

    /** How many instances there are. */
    default int instanceCount() {
        return scene().scenario().fleet().instances();
    }

    /** What discovery knows. */
    default EndpointDirectory directory() {
        return scene().directory();
    }

    /** The links to the servers. */
    default Link link() {
        return scene().link();
    }

    /** From now on clients ask so many times as much. */
    default void overload(double times) {
        scene().rhythm().overload(times);
    }
}

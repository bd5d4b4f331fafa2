package topazvalve.simulation.model;

import java.util.List;

/** The simulated system that faults act on, in virtual time as well as on real sockets. */
public interface FaultTarget {
    /** Returns the clock of the run. */
    Clock clock();

    /** Returns the servers, the network and discovery. */
    Topology topology();

    /** Kills a sidecar instance and starts it again. */
    void restartInstance(int number);

    /** Holds a sidecar instance up: it does nothing for this long. */
    void stallInstance(int number, long nanos);

    /** Floods a sidecar instance with requests of a client for this long; no effect in virtual time. */
    default void floodInstance(int number, long nanos) {}

    /** Lets clients of an instance send many requests and close at once, for this long; no effect in virtual time. */
    default void departFromInstance(int number, long nanos) {}

    /** Connects many clients to a sidecar instance that are slow or stop half way; no effect in virtual time. */
    default void crowdInstance(int number, long nanos) {}

    /** Ends a sidecar instance in order, kills what is left of it, and starts it again; no effect in virtual time. */
    default void shutDownInstance(int number) {}

    /** Makes a sidecar instance reload its configuration; no effect in virtual time. */
    default void reloadInstance(int number) {}

    /** Replaces a server by one with a new id, at the same or another address; returns the replacement. */
    OrderServer replaceServer(OrderServer old, boolean sameAddress);

    /** Records the begin or end of a fault for the report. */
    void recordEvent(String description);

    /** Returns the current servers. */
    default List<OrderServer> servers() {
        return topology().fleet().servers();
    }

    /** Returns the number of sidecar instances. */
    default int instanceCount() {
        return topology().scenario().fleet().instances();
    }

    /** Returns the endpoint list of discovery. */
    default EndpointDirectory directory() {
        return topology().directory();
    }

    /** Returns the network between instances and servers. */
    default Link link() {
        return topology().link();
    }

    /** Multiplies the clients' request rate by a factor from now on; 1 restores it. */
    default void setLoadFactor(double factor) {
        topology().trafficPattern().setLoadFactor(factor);
    }
}

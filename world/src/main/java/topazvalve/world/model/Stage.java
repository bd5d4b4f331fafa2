package topazvalve.world.model;

import java.util.List;

/** What faults act upon: the same in virtual time and on real sockets. */
public interface Stage {
    /** The clock. */
    Clock clock();

    /** The servers that are there now. */
    List<OrderServer> servers();

    /** How many instances there are. */
    int instanceCount();

    /** What discovery knows. */
    Directory directory();

    /** The links to the servers. */
    Link link();

    /** From now on clients ask so many times as much. */
    void overload(double times);

    /** Kills an instance and starts it anew. */
    void restartInstance(int number);

    /** A server under a new id takes another's place, at its address or at another one. */
    OrderServer replace(OrderServer old, boolean sameAddress);

    /** Something has begun or ended, for the record. */
    void note(String what);
}

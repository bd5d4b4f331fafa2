package topazvalve.capacity.measure;

import topazvalve.capacity.demand.Quantity;

/**
 * A kind of list server and the quantities that its measurement records.
 *
 * @param name the name of the server in the output
 * @param heap live heap, by watches
 * @param memory resident memory, by watches
 * @param idleCpu CPU without changes, by watches
 * @param idleBytes bytes per second on each watch without changes
 * @param changeTime time until the last watch has received a change, by watches
 * @param changeCpu CPU of one change, by watches
 * @param snapshotTime time until the last of several simultaneous calls has received the complete list, by calls
 * @param snapshotCpu CPU of several simultaneous calls, by calls
 */
record ListServerQuantities(
        String name,
        Quantity heap,
        Quantity memory,
        Quantity idleCpu,
        Quantity idleBytes,
        Quantity changeTime,
        Quantity changeCpu,
        Quantity snapshotTime,
        Quantity snapshotCpu) {
    static final ListServerQuantities SOURCE = new ListServerQuantities(
            "stand-in source without a bound",
            Quantity.SOURCE_HEAP,
            Quantity.SOURCE_MEMORY,
            Quantity.SOURCE_REST_CPU,
            Quantity.SOURCE_REST_BYTES,
            Quantity.SOURCE_CHANGE_TIME,
            Quantity.SOURCE_CHANGE_CPU,
            Quantity.SOURCE_LISTS_TIME,
            Quantity.SOURCE_LISTS_CPU);

    static final ListServerQuantities RELAY = new ListServerQuantities(
            "relay that follows a stand-in source",
            Quantity.RELAY_HEAP,
            Quantity.RELAY_MEMORY,
            Quantity.RELAY_REST_CPU,
            Quantity.RELAY_REST_BYTES,
            Quantity.RELAY_CHANGE_TIME,
            Quantity.RELAY_CHANGE_CPU,
            Quantity.RELAY_LISTS_TIME,
            Quantity.RELAY_LISTS_CPU);
}

package topazvalve.capacity.demand;

import topazvalve.capacity.plan.CapacityPlan;

/** CPU, memory and network bytes of one list server: the source or a relay. */
final class ListServerDemand {
    private final TierModel model;

    ListServerDemand(TierModel model) {
        this.model = model;
    }

    /**
     * The work of one list server.
     *
     * @param watches watches that it serves
     * @param snapshotBytes bytes per second for complete lists and resumed watches
     * @param snapshotCpu percent of a core for complete lists
     * @param changesPerSecond changes that it sends on every watch
     */
    record Work(int watches, Estimate snapshotBytes, Estimate snapshotCpu, double changesPerSecond) {}

    /** Adds the rows of a situation; the row for memory only if {@code withMemory}. */
    void addRows(String situation, Work work, boolean withMemory) {
        CapacityPlan.Control budget = model.plan().budget().control();
        model.addRow(
                DemandLabels.ROLE_LIST_SERVER,
                situation,
                DemandLabels.RESOURCE_CPU,
                DemandLabels.UNIT_CORE_PERCENT,
                cpu(work),
                budget.coresPerMachine() * TierModel.PERCENT);
        if (withMemory) {
            model.addRow(
                    DemandLabels.ROLE_LIST_SERVER,
                    situation,
                    DemandLabels.RESOURCE_MEMORY,
                    DemandLabels.UNIT_MIB,
                    model.ofListServer(Quantity.SOURCE_MEMORY, Quantity.RELAY_MEMORY, work.watches()),
                    budget.memoryMibPerMachine());
        }
        model.addRow(
                DemandLabels.ROLE_LIST_SERVER,
                situation,
                DemandLabels.RESOURCE_BYTES,
                DemandLabels.UNIT_BYTES_PER_SECOND,
                bytes(work),
                budget.bytesPerSecondPerMachine());
    }

    private Estimate cpu(Work work) {
        Estimate idle = model.ofListServer(Quantity.SOURCE_REST_CPU, Quantity.RELAY_REST_CPU, work.watches());
        Estimate changeMillis =
                model.ofListServer(Quantity.SOURCE_CHANGE_CPU, Quantity.RELAY_CHANGE_CPU, work.watches());
        Estimate changes =
                changeMillis.times(work.changesPerSecond() * TierModel.PERCENT / TierModel.MILLIS_PER_SECOND);
        return idle.plus(changes).plus(work.snapshotCpu());
    }

    private Estimate bytes(Work work) {
        Estimate bytesPerWatch = model.heartbeatBytesPerSecond().plus(model.changeBytes(work.changesPerSecond()));
        return bytesPerWatch.times(work.watches()).plus(work.snapshotBytes());
    }
}

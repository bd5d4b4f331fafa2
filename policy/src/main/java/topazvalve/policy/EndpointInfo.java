package topazvalve.policy;

/**
 * An endpoint as discovery lists it.
 *
 * @param id an opaque number that stays the same over restarts
 * @param startedAtNanos the time of the last start on the events' clock; 0 for long ago
 */
public record EndpointInfo(
        long id, int zone, int machineKind, int cell, EndpointStatus status, float weight, long startedAtNanos) {
    /** Returns the same endpoint with status {@link EndpointStatus#REMOVED}. */
    public EndpointInfo asRemoved() {
        return new EndpointInfo(id, zone, machineKind, cell, EndpointStatus.REMOVED, weight, startedAtNanos);
    }
}

package topazvalve.policy;

/**
 * An endpoint as discovery lists it.
 *
 * @param id an opaque number that stays the same across restarts of the endpoint
 * @param startedAtNanos the time of the last start on the clock of the events; 0 if it is unknown or long ago
 */
public record EndpointInfo(
        long id, int zone, int machineKind, int cell, EndpointStatus status, float weight, long startedAtNanos) {
    /** Returns the same endpoint with status {@link EndpointStatus#REMOVED}. */
    public EndpointInfo asRemoved() {
        return new EndpointInfo(id, zone, machineKind, cell, EndpointStatus.REMOVED, weight, startedAtNanos);
    }
}

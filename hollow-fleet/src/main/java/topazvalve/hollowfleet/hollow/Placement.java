package topazvalve.hollowfleet.hollow;

/**
 * A hollow sidecar's place in the fleet.
 *
 * @param zone its zone
 * @param list the number of the endpoint list that it has to have in force
 * @param addresses where it gets this list
 */
public record Placement(int zone, int list, DiscoveryAddresses addresses) {}

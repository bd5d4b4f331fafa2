package topazvalve.hollowfleet.hollow;

/**
 * The placement of a hollow sidecar in the fleet.
 *
 * @param zone its zone
 * @param list the number of the endpoint list that it follows
 * @param addresses the addresses from which it gets this list
 */
public record Placement(int zone, int list, DiscoveryAddresses addresses) {}

package topazvalve.hollowfleet.oracle;

import topazvalve.policy.EndpointStatus;

/**
 * The replacement of a server's entry in a sidecar's endpoint list.
 *
 * @param server the server
 * @param oldChange the change of the old entry; 0 if there was none
 * @param oldStatus the status of the old entry
 * @param newChange the change of the new entry
 * @param newStatus the status of the new entry
 */
public record EntryReplacement(
        int server, int oldChange, EndpointStatus oldStatus, int newChange, EndpointStatus newStatus) {}

package topazvalve.hollowfleet.oracle;

import topazvalve.policy.EndpointStatus;

/**
 * The replacement of a server's entry in a sidecar's endpoint list.
 *
 * @param server the server
 * @param oldChange the change that was in force; 0 if none was
 * @param oldStatus the status that was in force
 * @param newChange the change that is in force now
 * @param newStatus the status that is in force now
 */
public record EntryReplacement(
        int server, int oldChange, EndpointStatus oldStatus, int newChange, EndpointStatus newStatus) {}

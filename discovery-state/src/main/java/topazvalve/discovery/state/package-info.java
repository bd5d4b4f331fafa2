/**
 * The state of replicated endpoint lists: versions and their order, the list that a relay holds, and the failover of
 * followers between peers. Nothing in this package does I/O, reads a clock or starts a thread; callers pass in time
 * and randomness.
 */
package topazvalve.discovery.state;

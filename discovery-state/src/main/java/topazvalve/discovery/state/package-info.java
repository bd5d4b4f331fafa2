/**
 * The state of replicated endpoint lists: versions and their order, the list that a relay keeps, and the failover of
 * followers between peers. Nothing here does I/O, reads a clock or starts a thread; callers pass time and randomness
 * in.
 */
package topazvalve.discovery.state;

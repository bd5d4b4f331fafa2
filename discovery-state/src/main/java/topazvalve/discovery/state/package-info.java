/**
 * How lists of servers spread: versions and what is newer, the state that a relay keeps, whom a follower asks
 * and when. Nothing here does I/O, reads a clock or starts a thread: time and chance are given.
 */
package topazvalve.discovery.state;

/**
 * Opaque streams to try a listener with: both ends are played here, so that every byte and every end can be
 * compared with what was sent. Knows nothing of what carries them.
 */
package topazvalve.simulation.stream;

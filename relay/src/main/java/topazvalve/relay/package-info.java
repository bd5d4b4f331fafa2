/**
 * A relay: follows the sources of lists and tells many sidecars, in the form in which discovery tells one.
 * A process of its own. What it decides is in {@link topazvalve.discovery.state}; one event loop owns its state.
 */
package topazvalve.relay;

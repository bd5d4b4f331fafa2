/**
 * The relay, a process of its own: watches the sources of endpoint lists and serves many sidecars, in the form in
 * which discovery serves one. {@link topazvalve.relay.DiscoveryRelay} is where to start reading;
 * {@code docs/design/relay.md} has the reasons.
 */
package topazvalve.relay;

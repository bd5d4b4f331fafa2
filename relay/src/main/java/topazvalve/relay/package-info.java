/**
 * The relay process: watches the sources of endpoint lists and serves many sidecars by the same protocol as discovery.
 * Start reading at {@link topazvalve.relay.DiscoveryRelay}; {@code docs/design/relay.md} explains the design.
 */
package topazvalve.relay;

/**
 * The HTTP frontend: accepts the application's connections, reads their requests, hands each to the exchange
 * manager and writes exactly one response to it.
 */
package topazvalve.sidecar.frontend;

/**
 * The HTTP frontend: accepts connections of the application, reads requests, passes each to the exchange handler, and
 * writes exactly one response to it.
 */
package topazvalve.sidecar.frontend;

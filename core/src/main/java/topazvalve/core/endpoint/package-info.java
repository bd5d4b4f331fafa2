/** Endpoints and the interface to the sources of endpoint lists. */
package topazvalve.core.endpoint;

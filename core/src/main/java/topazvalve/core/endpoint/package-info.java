/** Endpoints, and the interface to the lists that name them. */
package topazvalve.core.endpoint;

/** What HTTP says of a message on its way through. */
package topazvalve.sidecar.http;

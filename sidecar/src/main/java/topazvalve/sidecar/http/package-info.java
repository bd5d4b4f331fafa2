/** HTTP messages on their way through the sidecar: requests, responses and the headers that are forwarded. */
package topazvalve.sidecar.http;

/** HTTP messages passed between frontend and upstream: requests, responses and the rules for forwarded headers. */
package topazvalve.sidecar.http;

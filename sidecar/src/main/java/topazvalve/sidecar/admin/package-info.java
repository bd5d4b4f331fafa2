/** The admin endpoint: a second listener for readiness, metrics and draining. */
package topazvalve.sidecar.admin;

/** The operators' door: a second listener for readiness, figures and draining. */
package topazvalve.sidecar.admin;

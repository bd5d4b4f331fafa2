/** The request classes of all configurations that a sidecar has applied. */
package topazvalve.core.requestclass;

/** The request classes, over all configurations that a sidecar has applied. */
package topazvalve.core.requestclass;

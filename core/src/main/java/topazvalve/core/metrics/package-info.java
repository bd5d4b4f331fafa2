/** The metrics that a sidecar exposes to its operators. */
package topazvalve.core.metrics;

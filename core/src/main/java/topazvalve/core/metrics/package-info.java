/** The metrics that a sidecar shows to its operators. */
package topazvalve.core.metrics;

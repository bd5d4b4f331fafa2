/** What the sidecar has done, counted for its operators. */
package topazvalve.core.metrics;

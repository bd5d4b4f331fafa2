/** What the sidecar has done, counted for its operators. */
package topazvalve.sidecar.metrics;

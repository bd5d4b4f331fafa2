/** Measurements of the packaged sidecar beside the direct path, on loopback. */
package topazvalve.simulation.measure;

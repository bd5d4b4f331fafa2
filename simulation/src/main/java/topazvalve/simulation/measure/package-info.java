/** Measurements of the packaged sidecar on loopback, relative to the direct path. */
package topazvalve.simulation.measure;

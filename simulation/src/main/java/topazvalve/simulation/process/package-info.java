/** The packaged sidecar as a process: how it is started, and on what port. */
package topazvalve.simulation.process;

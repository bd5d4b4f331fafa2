/** The packaged sidecar as a process: its command line and its ports. */
package topazvalve.simulation.process;

/** The packaged sidecar as a process: its command line, configuration, ports and end. */
package topazvalve.simulation.process;

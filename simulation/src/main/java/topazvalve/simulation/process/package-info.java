/** The packaged sidecar as a process: its command line, configuration, ports and shutdown. */
package topazvalve.simulation.process;

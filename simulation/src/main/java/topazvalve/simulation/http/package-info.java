/** HTTP over loopback for stand-ins, clients and measurements: sockets with an HTTP codec. */
package topazvalve.simulation.http;

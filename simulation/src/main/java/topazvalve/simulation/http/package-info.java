/** HTTP over loopback for stand-ins, clients and measurements: sockets with a codec. */
package topazvalve.simulation.http;

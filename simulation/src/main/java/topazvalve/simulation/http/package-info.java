/** HTTP over loopback for stand-ins, clients and measurements: sockets with a codec, below what they do with messages. */
package topazvalve.simulation.http;

/** Measures slopes with processes and sockets of this machine, over loopback. */
package topazvalve.capacity.measure;

/** Measures slopes on processes and sockets of this machine, over loopback. */
package topazvalve.capacity.measure;

/** Addresses on the network. */
package topazvalve.sidecar.net;

/** Addresses on the network. */
package topazvalve.core.net;

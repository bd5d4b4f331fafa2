/** Parsing of network addresses. */
package topazvalve.core.net;

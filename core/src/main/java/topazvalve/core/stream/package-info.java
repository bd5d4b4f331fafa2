/** Streaming of bodies, whatever their protocol, within one bound on the bytes that are buffered. */
package topazvalve.core.stream;

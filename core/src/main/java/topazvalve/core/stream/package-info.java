/** Streaming of message bodies of any protocol, with a limit on the total bytes buffered. */
package topazvalve.core.stream;

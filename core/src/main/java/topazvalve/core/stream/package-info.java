/** Bodies on their way through, of any protocol, within one bound on the bytes held. */
package topazvalve.core.stream;

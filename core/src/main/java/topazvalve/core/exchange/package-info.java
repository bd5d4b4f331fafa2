/** The life of an exchange, and the only calls of the decision module. */
package topazvalve.core.exchange;

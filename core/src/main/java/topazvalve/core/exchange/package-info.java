/**
 * The lifecycle of exchanges: receives requests, executes the decisions of the policy, and gives the client one final
 * answer.
 * {@link topazvalve.core.exchange.ExchangeManager} is the entry point.
 */
package topazvalve.core.exchange;

/**
 * The lifecycle of exchanges: requests in, decisions of the policy carried out, one final answer to the client.
 * {@link topazvalve.core.exchange.ExchangeManager} is the entry point.
 */
package topazvalve.core.exchange;

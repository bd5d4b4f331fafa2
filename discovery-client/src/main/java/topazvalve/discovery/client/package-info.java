/** The list of order servers, as discovery tells it. */
package topazvalve.discovery.client;

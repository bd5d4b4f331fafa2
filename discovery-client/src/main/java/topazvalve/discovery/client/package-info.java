/** The client of the endpoint discovery protocol: watches and fetches over HTTP, and failover between relays. */
package topazvalve.discovery.client;

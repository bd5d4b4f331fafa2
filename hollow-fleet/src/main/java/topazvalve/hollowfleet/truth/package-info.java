/** What the sources had at which time: what the oracle holds every instance against. No clock, no socket. */
package topazvalve.hollowfleet.truth;

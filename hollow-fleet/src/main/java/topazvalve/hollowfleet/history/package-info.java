/** Every change that the sources made and when: what the oracle compares sidecars with. No clock and no I/O. */
package topazvalve.hollowfleet.history;

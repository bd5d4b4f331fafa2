/** Every change that the sources made, with its time: the reference for the oracle. Uses no clock and no I/O. */
package topazvalve.hollowfleet.history;

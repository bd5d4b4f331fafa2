/** The demand of each role at the planned size, beside its budget. No clock and no I/O. */
package topazvalve.capacity.demand;

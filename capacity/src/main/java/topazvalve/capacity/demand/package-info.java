/** The demand of each role at the planned size, compared with its budget. Uses no clock and no I/O. */
package topazvalve.capacity.demand;

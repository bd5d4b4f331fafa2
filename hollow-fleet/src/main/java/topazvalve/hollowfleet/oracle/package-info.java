/** Rules for the distribution of endpoint lists, checked from outside the sidecars. Uses no clock and no I/O. */
package topazvalve.hollowfleet.oracle;

/** Rules for the distribution of endpoint lists, checked from outside the sidecars. No clock and no I/O. */
package topazvalve.hollowfleet.oracle;

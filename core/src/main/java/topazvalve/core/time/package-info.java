/** The clock and the timers of the core, behind an interface so that tests can replace them. */
package topazvalve.core.time;

/** The clock and the timers of the core, behind an interface that tests can implement. */
package topazvalve.core.time;

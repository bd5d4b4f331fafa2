/** What each role needs at the planned size, beside what it is allowed: no clock, no socket. */
package topazvalve.capacity.need;

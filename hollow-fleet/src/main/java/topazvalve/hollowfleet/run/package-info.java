/** Plays a timeline: sources, hollow sidecars, what happens to them, and what came of it. */
package topazvalve.hollowfleet.run;

/** Runs a timeline: starts sources, relays and hollow sidecars, injects the faults, and measures each stage. */
package topazvalve.hollowfleet.run;

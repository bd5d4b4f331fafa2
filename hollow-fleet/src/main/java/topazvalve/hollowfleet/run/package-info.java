/** Runs a timeline: sets up sources, relays and hollow sidecars, applies the faults, and measures each stage. */
package topazvalve.hollowfleet.run;

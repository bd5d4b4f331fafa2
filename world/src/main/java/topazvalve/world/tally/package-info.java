/** What a run adds up to. */
package topazvalve.world.tally;

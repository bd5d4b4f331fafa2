/** The world in virtual time, with the decision module hosted directly. */
package topazvalve.simulation.virtual;

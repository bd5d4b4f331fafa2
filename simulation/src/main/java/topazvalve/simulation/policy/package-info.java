/** Textbook balancers to compare with, and faulty ones to test the oracle with. */
package topazvalve.simulation.policy;

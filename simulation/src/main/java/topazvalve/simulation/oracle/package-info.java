/** Judges from what servers and clients saw, never from the program's word. */
package topazvalve.simulation.oracle;

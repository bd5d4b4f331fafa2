/** The plan's figures: the size to design for and what each role may take. */
package topazvalve.capacity.plan;

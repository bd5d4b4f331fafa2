/** The capacity plan: the size to design for and each role's budget. */
package topazvalve.capacity.plan;

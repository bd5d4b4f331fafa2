/** Lines through measured points, with what they leave over; a bend is said. */
package topazvalve.capacity.fit;

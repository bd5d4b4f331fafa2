/** Least-squares lines through measured points, with their residuals and breakpoints. */
package topazvalve.capacity.fit;

/** Where log lines go and what they look like, for every program of the project. */
package topazvalve.logging;

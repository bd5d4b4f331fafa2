/** Log output and log line format, shared by all programs of the project. */
package topazvalve.logging;

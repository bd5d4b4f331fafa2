/** The one place that says where log lines go and what they look like. */
package topazvalve.logging;

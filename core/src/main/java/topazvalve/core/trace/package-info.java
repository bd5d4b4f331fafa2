/** The trace of single requests, for the analysis of incidents. */
package topazvalve.core.trace;

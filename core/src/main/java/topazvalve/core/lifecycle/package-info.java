/** Where a sidecar is between its start and its end: the one owner of that fact. */
package topazvalve.core.lifecycle;

/** The state of the sidecar's process between its start and its shutdown. */
package topazvalve.core.lifecycle;

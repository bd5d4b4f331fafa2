/** The state of the sidecar process from start to shutdown. */
package topazvalve.core.lifecycle;

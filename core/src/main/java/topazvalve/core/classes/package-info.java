/** The classes of request, over every configuration that a sidecar has taken. */
package topazvalve.core.classes;

/** Network addresses. */
package topazvalve.core.net;

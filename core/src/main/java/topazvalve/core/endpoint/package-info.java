/** Who serves, as lists of any kind tell it. */
package topazvalve.core.endpoint;

/** Time as the core sees it, so that tests can play it. */
package topazvalve.core.time;

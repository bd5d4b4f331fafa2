/** The rules that spreading lists is held to, checked from outside. No clock, no socket. */
package topazvalve.hollowfleet.oracle;

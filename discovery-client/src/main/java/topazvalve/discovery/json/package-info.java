/** The one JSON reader: a second would cost the start again. */
package topazvalve.discovery.json;

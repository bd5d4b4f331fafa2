/** The one JSON reader: a second would cost the start again. */
package topazvalve.sidecar.json;

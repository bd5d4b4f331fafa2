/** The life of a request: the only caller of the decision module. */
package topazvalve.sidecar.engine;

/** The application's side: reads requests and answers each once. */
package topazvalve.sidecar.frontend;

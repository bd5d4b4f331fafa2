/** Connections to upstreams, and the attempts on them. */
package topazvalve.sidecar.upstream;

/** The configuration of one sidecar: reading, validation and resource limits. */
package topazvalve.sidecar.config;

/** What one sidecar is told, read and checked. */
package topazvalve.sidecar.config;

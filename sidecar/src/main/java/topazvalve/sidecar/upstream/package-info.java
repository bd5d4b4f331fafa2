/** HTTP/1.1 connections to the application's servers: requests written, responses read, load reports. */
package topazvalve.sidecar.upstream;

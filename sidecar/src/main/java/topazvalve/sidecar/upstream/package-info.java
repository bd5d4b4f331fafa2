/** HTTP/1.1 connections to the application's servers: writing requests, reading responses and load reports. */
package topazvalve.sidecar.upstream;

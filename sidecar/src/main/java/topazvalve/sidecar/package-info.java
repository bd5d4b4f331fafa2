/** The sidecar process: start, warm-up, configuration reload and shutdown of its proxies, on one event loop. */
package topazvalve.sidecar;

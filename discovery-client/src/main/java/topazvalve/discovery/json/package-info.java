/** A small JSON reader based on Jackson's streaming parser, for modules that read JSON at startup. */
package topazvalve.discovery.json;

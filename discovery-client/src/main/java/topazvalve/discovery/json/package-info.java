/** A small JSON reader on Jackson's streaming parser, shared by all modules that read JSON when they start. */
package topazvalve.discovery.json;

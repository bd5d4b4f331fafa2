/** Strict TOML: every fault of a file is told at once, with its line, its key and what was meant. */
package topazvalve.toml;

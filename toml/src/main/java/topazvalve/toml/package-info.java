/**
 * Strict reading of operators' TOML files: {@link topazvalve.toml.TomlFile} accepts a file as a whole or reports all
 * of its problems at once, each with its line, its key and what was expected.
 */
package topazvalve.toml;

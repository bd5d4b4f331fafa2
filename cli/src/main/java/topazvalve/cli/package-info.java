/**
 * The {@code ./topazvalve} command. {@link topazvalve.cli.Main} parses the arguments; each verb is a class whose name
 * ends in Verb; it reads the input files, runs a program of another module and returns an exit code.
 */
package topazvalve.cli;

/** The {@code topazvalve} command: arguments in, exit codes out. What its verbs do is elsewhere. */
package topazvalve.cli;

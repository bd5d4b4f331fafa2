package topazvalve.cli;

/** The command's exit codes, as its help lists them. */
final class ExitCode {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int BAD_INPUT = 2;

    private ExitCode() {}
}

package topazvalve.cli;

/** The command's exit codes; its help lists them, too. */
final class ExitCode {
    /** Completed, and no check failed. */
    static final int SUCCESS = 0;
    /** A rule was broken, a budget was exceeded, or the run could not be completed. */
    static final int FAILURE = 1;
    /** Invalid arguments or an invalid input file. */
    static final int INVALID_INPUT = 2;
    /** The machine or the command itself was held up too often for a verdict. */
    static final int NO_RESULT = 3;
    /** Interrupted by Ctrl-C: 128 plus the number of SIGINT, as shells report it. */
    static final int INTERRUPTED = 130;

    private ExitCode() {}

    /** Returns {@link #SUCCESS} if a run has passed, else {@link #FAILURE}. */
    static int of(boolean passed) {
        return passed ? SUCCESS : FAILURE;
    }
}

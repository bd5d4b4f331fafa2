package topazvalve.cli;

/** The command's exit codes, as its help lists them. */
final class ExitCode {
    /** Done, and nothing was found wrong. */
    static final int DONE = 0;
    /** A rule was broken, or the run could not be finished. */
    static final int FAILED = 1;
    /** The arguments or a file are at fault. */
    static final int BAD_INPUT = 2;
    /** Ended by Ctrl-C: 128 and the number of SIGINT, as shells report it. */
    static final int INTERRUPTED = 130;

    private ExitCode() {}

    /** Returns {@link #DONE} if a run has passed, else {@link #FAILED}. */
    static int of(boolean passed) {
        return passed ? DONE : FAILED;
    }
}

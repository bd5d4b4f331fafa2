package topazvalve.hollowfleet.source;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The most recent changes of an endpoint list by revision; older ones are discarded. */
final class ChangeLog {
    private final int maxChanges;
    private final ArrayDeque<LoggedChange> changes = new ArrayDeque<>();
    private long discardedRevision;

    /** A change of one server, with the revision of the list that includes it. */
    record LoggedChange(long revision, int server) {}

    ChangeLog(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    void add(long revision, int server) {
        changes.add(new LoggedChange(revision, server));
        if (changes.size() > maxChanges) {
            discardedRevision = changes.remove().revision();
        }
    }

    /** Discards all changes up to a revision. */
    void clear(long revision) {
        changes.clear();
        discardedRevision = revision;
    }

    /** Returns whether all changes after a revision are in the log. */
    boolean covers(long revision) {
        return revision > 0 && revision >= discardedRevision;
    }

    /** Returns the changes after a revision, oldest first, in time proportional to their number. */
    Iterable<LoggedChange> after(long revision) {
        ArrayDeque<LoggedChange> found = new ArrayDeque<>();
        Iterator<LoggedChange> newestFirst = changes.descendingIterator();
        while (newestFirst.hasNext()) {
            LoggedChange change = newestFirst.next();
            if (change.revision() <= revision) {
                break;
            }
            found.addFirst(change);
        }
        return found;
    }
}

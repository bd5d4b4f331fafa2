package topazvalve.hollowfleet.source;

import java.util.ArrayDeque;

/**
 * Calls that wait for a complete list. Only a few lists are sent at the same time, so that each of them arrives
 * soon. Used on the source's event loop alone.
 */
final class TransferQueue {
    private final int maxTransfers;
    private final ArrayDeque<SourceConnection> waiting = new ArrayDeque<>();
    private int transfers;

    TransferQueue(int maxTransfers) {
        this.maxTransfers = maxTransfers;
    }

    void add(SourceConnection connection) {
        waiting.add(connection);
        startNext();
    }

    private void startNext() {
        while (transfers < maxTransfers && !waiting.isEmpty()) {
            SourceConnection next = waiting.remove();
            if (next.isActive()) {
                transfers++;
                next.respond().addListener(sent -> {
                    transfers--;
                    startNext();
                });
            }
        }
    }

    /** Rejects the waiting calls that were received before a time. */
    void rejectReceivedBefore(long timeNanos) {
        while (!waiting.isEmpty() && waiting.peek().receivedAtNanos() < timeNanos) {
            waiting.remove().reject();
        }
    }

    void clear() {
        waiting.clear();
    }
}

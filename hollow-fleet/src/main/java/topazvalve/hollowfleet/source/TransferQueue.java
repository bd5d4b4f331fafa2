package topazvalve.hollowfleet.source;

import java.util.ArrayDeque;

/**
 * Connections that wait for a full snapshot of the endpoint list. The number of transfers, which are snapshots being
 * sent, is limited, so that each of them completes quickly. Confined to the source's event loop.
 */
final class TransferQueue {
    private final int maxTransfers;
    private final ArrayDeque<SourceConnection> waiting = new ArrayDeque<>();
    private int activeTransfers;

    TransferQueue(int maxTransfers) {
        this.maxTransfers = maxTransfers;
    }

    void add(SourceConnection connection) {
        waiting.add(connection);
        startNext();
    }

    private void startNext() {
        while (activeTransfers < maxTransfers && !waiting.isEmpty()) {
            SourceConnection next = waiting.remove();
            if (next.isActive()) {
                activeTransfers++;
                next.respond().addListener(sent -> {
                    activeTransfers--;
                    startNext();
                });
            }
        }
    }

    /** Rejects waiting calls that were received before the given time. */
    void rejectReceivedBefore(long timeNanos) {
        while (!waiting.isEmpty() && waiting.peek().receivedAtNanos() < timeNanos) {
            waiting.remove().reject();
        }
    }

    void clear() {
        waiting.clear();
    }
}

package topazvalve.hollowfleet.hollow;

/** Tracks the bytes of one sidecar in each second of a sliding window and in the whole window. */
final class TrafficMeter {
    private final int[] bytesBySecond;
    private long lastTotalBytes;
    private long bytesInWindow;

    TrafficMeter(int windowSeconds) {
        bytesBySecond = new int[windowSeconds];
    }

    /**
     * Adds a second that has ended.
     *
     * @param totalBytes the bytes since the sidecar was created
     * @param second the sequence number of the second
     * @return the bytes of that second
     */
    int secondEnded(long totalBytes, long second) {
        int slot = (int) (second % bytesBySecond.length);
        int bytesInSecond = (int) Math.min(Integer.MAX_VALUE, totalBytes - lastTotalBytes);
        lastTotalBytes = totalBytes;
        bytesInWindow += bytesInSecond - bytesBySecond[slot];
        bytesBySecond[slot] = bytesInSecond;
        return bytesInSecond;
    }

    long bytesInWindow() {
        return bytesInWindow;
    }
}

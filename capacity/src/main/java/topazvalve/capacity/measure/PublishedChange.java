package topazvalve.capacity.measure;

/**
 * A change that a stand-in source has published.
 *
 * @param publishedAtNanos when, by the machine's monotonic clock, which all processes share
 * @param revision the version of the endpoint list with this change
 */
record PublishedChange(long publishedAtNanos, long revision) {}

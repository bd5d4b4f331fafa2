package topazvalve.capacity.measure;

/**
 * A change that a stand-in source has published.
 *
 * @param publishedAtNanos the time of publication, by the monotonic clock that all processes of the machine share
 * @param revision the version of the endpoint list with this change
 */
record PublishedChange(long publishedAtNanos, long revision) {}

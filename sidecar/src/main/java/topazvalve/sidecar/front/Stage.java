package topazvalve.sidecar.front;

/** Where a connection is. Those before {@link #ASKED} may make room for others, the first one first. */
enum Stage { LINGERING, SILENT, IDLE, NEW, READING, ASKED, ANSWERED }

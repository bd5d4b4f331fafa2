package topazvalve.simulation.model;

/** Observes the load of cold servers. It is called for each attempt that reaches one. */
public interface ColdServerMonitor {
    /**
     * Reports the sliding window that ends now.
     *
     * @param offered the work of all attempts in the window, in requests of mean work
     * @param allowed the limit for the window, in requests of mean work (overload factor times capacity)
     * @param informed the fraction (0 to 1) of {@code offered} whose senders knew of the server's last start
     */
    void coldLoadMeasured(OrderServer server, double offered, double allowed, double informed);
}

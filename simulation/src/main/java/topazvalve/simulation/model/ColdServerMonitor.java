package topazvalve.simulation.model;

/** Is told of each window of a cold server as work comes in. */
public interface ColdServerMonitor {
    /**
     * The window that ends now.
     *
     * @param offered what all sent, in requests of mean work
     * @param allowed what the settings let it take: their factor times its capacity over the window
     * @param informed the part of it that came from those who knew of its start
     */
    void window(OrderServer server, double offered, double allowed, double informed);
}

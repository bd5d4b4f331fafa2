package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.Scenario;

/** The servers, network, discovery and traffic pattern of a run. Scenario and seed determine them on either clock. */
public final class Topology {
    private static final int MAX_RECORDED_EVENTS = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Scenario scenario;
    private final Fleet fleet;
    private final EndpointDirectory directory;
    private final Link link;
    private final TrafficPattern trafficPattern;
    private final List<String> recordedEvents = new ArrayList<>();

    /** Creates warm servers, an empty endpoint list and a network without faults. */
    public Topology(Scenario scenario, Clock clock, long seed) {
        this.scenario = scenario;
        this.fleet = new Fleet(scenario, clock, seed);
        this.directory = new EndpointDirectory(clock, scenario.discovery(), RandomStream.named(seed, "directory"));
        this.link = new Link(scenario.network(), RandomStream.named(seed, "link"));
        this.trafficPattern = new TrafficPattern(scenario.load(), RandomStream.named(seed, "rhythm"));
    }

    /** Returns the scenario. */
    public Scenario scenario() {
        return scenario;
    }

    /** Returns the order servers. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns the endpoint list of discovery. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** Returns the network between instances and servers. */
    public Link link() {
        return link;
    }

    /** Returns how the request rate of all clients varies. */
    public TrafficPattern trafficPattern() {
        return trafficPattern;
    }

    /** Records an event for the report, {@code elapsed} nanoseconds after the start; only the first 500 are kept. */
    public void recordEvent(long elapsed, String description) {
        if (recordedEvents.size() < MAX_RECORDED_EVENTS) {
            recordedEvents.add(elapsed / NANOS_PER_MILLI + " ms: " + description);
        }
    }

    /** Returns the recorded events, oldest first. */
    public List<String> recordedEvents() {
        return List.copyOf(recordedEvents);
    }
}

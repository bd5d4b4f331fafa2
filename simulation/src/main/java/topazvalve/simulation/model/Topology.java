package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.Scenario;

/** What stands on a stage, drawn from scenario and seed: the same on either clock. */
public final class Topology {
    private static final int NOTES = 500;

    private final Scenario scenario;
    private final Fleet fleet;
    private final EndpointDirectory directory;
    private final Link link;
    private final TrafficPattern rhythm;
    private final List<String> notes = new ArrayList<>();

    /** Servers that run for long, an empty list, links without faults. */
    public Topology(Scenario scenario, Clock clock, long seed) {
        this.scenario = scenario;
        this.fleet = new Fleet(scenario, clock, seed);
        this.directory = new EndpointDirectory(clock, scenario.news(), RandomStreams.stream(seed, "directory"));
        this.link = new Link(scenario.network(), RandomStreams.stream(seed, "link"));
        this.rhythm = new TrafficPattern(scenario.load(), RandomStreams.stream(seed, "rhythm"));
    }

    /** What was read. */
    public Scenario scenario() {
        return scenario;
    }

    /** The order servers. */
    public Fleet fleet() {
        return fleet;
    }

    /** What discovery knows. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** The links to the servers. */
    public Link link() {
        return link;
    }

    /** How all clients' rates go up and down. */
    public TrafficPattern rhythm() {
        return rhythm;
    }

    /** Keeps a note, {@code elapsed} nanoseconds into the run; only so many. */
    public void note(long elapsed, String what) {
        if (notes.size() < NOTES) {
            notes.add(elapsed / 1_000_000 + " ms: " + what);
        }
    }

    /** The notes, oldest first. */
    public List<String> notes() {
        return List.copyOf(notes);
    }
}

package topazvalve.hollowfleet.timeline;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import topazvalve.hollowfleet.oracle.FleetBudget;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceStandInSettings;
import topazvalve.hollowfleet.timeline.Timeline.Changes;
import topazvalve.hollowfleet.timeline.Timeline.InitialKnowledge;
import topazvalve.hollowfleet.timeline.Timeline.LinkFault;
import topazvalve.hollowfleet.timeline.Timeline.RelayRestart;
import topazvalve.hollowfleet.timeline.Timeline.RelayTierSize;
import topazvalve.hollowfleet.timeline.Timeline.RevisionsAfterRestart;
import topazvalve.hollowfleet.timeline.Timeline.SidecarRestart;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.hollowfleet.timeline.Timeline.SourceRestart;
import topazvalve.hollowfleet.timeline.Timeline.Stage;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** Reads a timeline from a TOML file. All problems of a file are reported together, each with its line. */
public final class TimelineFile {
    private static final int MAX_COUNT = 20_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private TimelineFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if the file has problems
     * @throws IOException if the file cannot be read
     */
    public static Timeline read(Path file) throws IOException {
        return TomlFile.read(file, TimelineFile::readTimeline);
    }

    /**
     * Reads the text of a file.
     *
     * @param name the file name to use in messages
     * @throws InvalidFileException if the text has problems
     */
    public static Timeline parse(String name, String text) {
        return TomlFile.parse(name, text, TimelineFile::readTimeline);
    }

    private static Timeline readTimeline(Table table) {
        String name = table.string("name", null);
        String description = table.string("about", "-");
        Size size = readSize(table.table("fleet"));
        SourceStandInSettings source = readSource(table.table("source"));
        RelayTierSize relays = readRelays(table.table("relays"));
        FleetBudget budget = readBudget(table.table("allowed"));
        List<Stage> stages = new ArrayList<>();
        for (Table stageTable : table.tables("stage", 1)) {
            stages.add(readStage(stageTable, size, relays));
        }
        return new Timeline(name, description, size, source, relays, budget, stages);
    }

    private static Size readSize(Table table) {
        int zones = table.integer("zones", 1, 1, 100);
        Size size = new Size(
                table.integer("hollow", null, 1, MAX_COUNT),
                table.integer("servers", null, 1, MAX_COUNT),
                zones,
                table.integer("regions", 1, 1, zones),
                table.integer("sources", 1, 1, 16),
                table.integer("loops", 4, 1, 64),
                table.duration("start_over", "0", "0", "5m"));
        if (size.sources() > size.regions()) {
            table.addProblem(
                    "sources",
                    "must not exceed regions: " + size.sources() + " sources, " + size.regions() + " regions");
        }
        return size;
    }

    private static SourceStandInSettings readSource(Table table) {
        return new SourceStandInSettings(
                table.number("capacity", 0.0, 0, 1e6),
                table.number("call_lines", 0.0, 0, 1e6),
                table.duration("timeout", "1s", "1ms", "1m"),
                table.integer("transfers", 64, 1, MAX_COUNT),
                table.flag("epoch", false),
                table.integer("kept", MAX_COUNT, 1, 1_000_000));
    }

    private static FleetBudget readBudget(Table table) {
        long maxChangeDelayNanos = table.duration("late", "9s", "1ms", "10m");
        double bytesPerSecond = table.number("bytes_a_second", 6_000.0, 1, 1e9);
        long windowNanos = table.duration("bytes_over", "60s", "1s", "10m");
        return new FleetBudget(maxChangeDelayNanos, bytesPerSecond, (int) (windowNanos / NANOS_PER_SECOND));
    }

    private static RelayTierSize readRelays(Table table) {
        return new RelayTierSize(table.integer("count", 0, 0, 200), table.flag("processes", false));
    }

    private static Stage readStage(Table table, Size size, RelayTierSize relays) {
        // Error messages list the problems in the order in which the keys are read.
        LinkFault linkFault = readLinkFault(table, size);
        return new Stage(
                table.string("name", null),
                table.duration("length", null, "10ms", "60m"),
                table.duration("settle", "20s", "0", "30m"),
                readChanges(table, size),
                readSidecarRestart(table, size),
                linkFault,
                readSourceRestart(table),
                table.integer("stalled", 0, 0, size.hollowSidecars()),
                new RelayRestart(
                        table.integer("relays_killed", 0, 0, relays.count()),
                        table.duration("relays_down", "1s", "0", "10m")));
    }

    private static LinkFault readLinkFault(Table table, Size size) {
        SimulatedLink.Kind kind = table.choice(SimulatedLink.Kind.class, "link", SimulatedLink.Kind.OPEN);
        long delayNanos = table.duration("delay", "0", "0", "1m");
        if (delayNanos > 0 != (kind == SimulatedLink.Kind.SLOW)) {
            table.addProblem("delay", "required with link = \"slow\", not allowed otherwise");
        }
        List<Integer> zones = readZones(table, size);
        if (zones.isEmpty() == (kind != SimulatedLink.Kind.OPEN)) {
            table.addProblem("link", "link and zones (or regions) must be given together");
        }
        return new LinkFault(new SimulatedLink(kind, delayNanos), zones);
    }

    private static List<Integer> readZones(Table table, Size size) {
        Set<Integer> zones = new TreeSet<>(readNumbers(table, "zones", size.zones()));
        List<Integer> regions = readNumbers(table, "regions", size.regions());
        for (int zone = 0; zone < size.zones(); zone++) {
            if (regions.contains(size.region(zone))) {
                zones.add(zone);
            }
        }
        return List.copyOf(zones);
    }

    /** Reads numbers below a bound, which are written as strings: {@code ["0", "3"]}. */
    private static List<Integer> readNumbers(Table table, String key, int bound) {
        List<Integer> numbers = new ArrayList<>();
        for (String text : table.strings(key, List.of())) {
            if (text.matches("\\d{1,4}") && Integer.parseInt(text) < bound) {
                numbers.add(Integer.parseInt(text));
            } else {
                table.addProblem(key, "\"" + text + "\" is not a number from 0 to " + (bound - 1) + " in quotes");
            }
        }
        return numbers;
    }

    private static Changes readChanges(Table table, Size size) {
        return new Changes(
                table.number("changes_a_day", 0.0, 0, 1e8),
                table.integer("burst", 0, 0, size.servers()),
                table.integer("burst_zone", 0, 0, size.zones() - 1),
                table.duration("burst_within", "1s", "0", "10m"));
    }

    private static SidecarRestart readSidecarRestart(Table table, Size size) {
        return new SidecarRestart(
                table.integer("restart", 0, 0, size.hollowSidecars()),
                table.choice(InitialKnowledge.class, "from", InitialKnowledge.KNOWN),
                table.duration("down", "1s", "0", "10m"));
    }

    private static SourceRestart readSourceRestart(Table table) {
        return new SourceRestart(
                table.duration("source_down", "0", "0", "30m"),
                table.choice(RevisionsAfterRestart.class, "versions", RevisionsAfterRestart.SAME));
    }
}

package topazvalve.hollowfleet.timeline;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import topazvalve.hollowfleet.oracle.Allowed;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceSettings;
import topazvalve.hollowfleet.timeline.Timeline.From;
import topazvalve.hollowfleet.timeline.Timeline.RelayCount;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.hollowfleet.timeline.Timeline.Stage;
import topazvalve.hollowfleet.timeline.Timeline.Versions;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** Reads a timeline from TOML 1.0: all of it is sound and taken, or all its faults are told by line. */
public final class TimelineFile {
    private static final int MOST = 20_000;

    private TimelineFile() {}

    /** Reads a file; {@link topazvalve.toml.InvalidFileException} if it has faults. */
    public static Timeline read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Reads a text; {@code name} stands for it in messages. */
    public static Timeline parse(String name, String text) {
        return TomlFile.parse(name, text, TimelineFile::timeline);
    }

    private static Timeline timeline(Table table) {
        String name = table.text("name", null);
        String about = table.text("about", "-");
        Size size = size(table.table("fleet"));
        SourceSettings source = source(table.table("source"));
        RelayCount relays = relays(table.table("relays"));
        Allowed allowed = allowed(table.table("allowed"));
        List<Stage> stages = new ArrayList<>();
        for (Table each : table.tables("stage", 1)) {
            stages.add(stage(each, size, relays));
        }
        return new Timeline(name, about, size, source, relays, allowed, stages);
    }

    private static Size size(Table table) {
        int zones = table.whole("zones", 1, 1, 100);
        Size size = new Size(
                table.whole("hollow", null, 1, MOST),
                table.whole("servers", null, 1, MOST),
                zones,
                table.whole("regions", 1, 1, zones),
                table.whole("sources", 1, 1, 16),
                table.whole("loops", 4, 1, 64),
                table.duration("start_over", "0", "0", "5m"));
        if (size.sources() > size.regions()) {
            table.wrong("sources", "there are " + size.sources() + " of them, but regions = " + size.regions());
        }
        return size;
    }

    private static SourceSettings source(Table table) {
        return new SourceSettings(
                table.number("capacity", 0.0, 0, 1e6),
                table.number("call_lines", 0.0, 0, 1e6),
                table.duration("timeout", "1s", "1ms", "1m"),
                table.whole("transfers", 64, 1, MOST),
                table.flag("epoch", false),
                table.whole("kept", MOST, 1, 1_000_000));
    }

    private static Allowed allowed(Table table) {
        return new Allowed(
                table.duration("late", "9s", "1ms", "10m"), table.number("bytes_a_second", 6_000.0, 1, 1e9), (int)
                        (table.duration("bytes_over", "60s", "1s", "10m") / 1_000_000_000L));
    }

    private static RelayCount relays(Table table) {
        return new RelayCount(table.whole("count", 0, 0, 200), table.flag("processes", false));
    }

    private static Stage stage(Table table, Size size, RelayCount relays) {
        SimulatedLink.Kind kind = table.choice(SimulatedLink.Kind.class, "link", SimulatedLink.Kind.OPEN);
        long delay = table.duration("delay", "0", "0", "1m");
        if (delay > 0 != (kind == SimulatedLink.Kind.SLOW)) {
            table.wrong("delay", "belongs to link = \"slow\", and has to be given there");
        }
        Set<Integer> zones = new TreeSet<>();
        zones(table, "zones", size.zones(), zones);
        List<Integer> regions = new ArrayList<>();
        zones(table, "regions", size.regions(), regions);
        for (int zone = 0; zone < size.zones(); zone++) {
            if (regions.contains(size.region(zone))) {
                zones.add(zone);
            }
        }
        if (zones.isEmpty() == (kind != SimulatedLink.Kind.OPEN)) {
            table.wrong("link", "link and one of zones and regions belong together");
        }
        return new Stage(
                table.text("name", null),
                table.duration("length", null, "10ms", "60m"),
                table.duration("settle", "20s", "0", "30m"),
                table.number("changes_a_day", 0.0, 0, 1e8),
                table.whole("burst", 0, 0, size.servers()),
                table.whole("burst_zone", 0, 0, size.zones() - 1),
                table.duration("burst_within", "1s", "0", "10m"),
                table.whole("restart", 0, 0, size.hollow()),
                table.choice(From.class, "from", From.KNOWN),
                table.duration("down", "1s", "0", "10m"),
                new SimulatedLink(kind, delay),
                List.copyOf(zones),
                table.duration("source_down", "0", "0", "30m"),
                table.choice(Versions.class, "versions", Versions.SAME),
                table.whole("stalled", 0, 0, size.hollow()),
                table.whole("relays_killed", 0, 0, relays.count()),
                table.duration("relays_down", "1s", "0", "10m"));
    }

    /** Numbers as texts, the way this reader takes lists: {@code ["0", "3"]}. */
    private static void zones(Table table, String key, int count, Collection<Integer> into) {
        for (String each : table.texts(key, List.of())) {
            if (each.matches("\\d{1,4}") && Integer.parseInt(each) < count) {
                into.add(Integer.parseInt(each));
            } else {
                table.wrong(key, "\"" + each + "\" is not a number from 0 to " + (count - 1) + " in quotes");
            }
        }
    }
}

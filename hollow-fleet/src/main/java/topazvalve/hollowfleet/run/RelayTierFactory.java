package topazvalve.hollowfleet.run;

import java.util.ArrayList;
import java.util.List;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.relay.RelaySettings;

/** Creates the relay tier of a timeline. */
final class RelayTierFactory {
    private RelayTierFactory() {}

    /** Starts relays that watch all sources; returns {@link NoRelays} if the timeline has no relays. */
    static RelayTier start(Timeline timeline, SourceGroup sources, long seed) {
        if (!timeline.hasRelays()) {
            return new NoRelays();
        }
        List<RelaySettings> settings = new ArrayList<>();
        for (int relay = 0; relay < timeline.relays().count(); relay++) {
            settings.add(settings(timeline, sources, relay));
        }
        return timeline.relays().separateProcesses()
                ? new RelayProcesses(settings)
                : new EmbeddedRelays(settings, seed);
    }

    private static RelaySettings settings(Timeline timeline, SourceGroup sources, int relay) {
        Size size = timeline.size();
        int zone = relay * size.zones() / timeline.relays().count();
        List<RelaySettings.SourceSettings> sourceSettings = new ArrayList<>();
        for (int source = 0; source < size.sources(); source++) {
            sourceSettings.add(
                    new RelaySettings.SourceSettings(sourceName(source), List.of(sources.address(source, zone))));
        }
        return RelaySettings.of("relay-" + relay, LoopbackAddresses.ofRelay(relay), sourceSettings);
    }

    /** Returns the name by which relays know a source. */
    static String sourceName(int source) {
        return "source-" + source;
    }
}

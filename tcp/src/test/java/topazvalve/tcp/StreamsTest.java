package topazvalve.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.simulation.stream.StreamTrial;

/** Many streams under drains, kills, resets and stalls: every byte and every end compared. */
class StreamsTest {
    private static final int STREAMS = Integer.getInteger("streams", 3_000);
    private static final int AT_ONCE = Integer.getInteger("streams.at.once", 100);
    private static final int EVERY_MS = Integer.getInteger("streams.every", 300);

    @Test
    void everyByteAndEveryEndArrivesAsItWasSent() throws Exception {
        try (StreamTrial trial = new StreamTrial(Integer.getInteger("streams.seed", 5), 4);
                Listening listening = new Listening(trial.addresses(), text -> text)) {
            StreamTrial.Result result = trial.play(listening.address, listening::draining, STREAMS, AT_ONCE, EVERY_MS);
            System.out.printf(
                    "streams: %d, %d half-closed, %d broken, %d refused, %d late of %d, %,d B%n",
                    result.streams(),
                    result.halfCloses(),
                    result.broken(),
                    result.refused(),
                    result.late(),
                    result.watched(),
                    result.bytes());
            assertEquals(
                    List.of(),
                    result.faults().stream().limit(5).toList(),
                    () -> "mismatches: " + result.faults().size());
            assertTrue(result.watched() > STREAMS / 50, "opened while a server drained: " + result.watched());
            assertEquals(0, result.late(), "streams to a drained server");
            assertTrue(result.broken() > STREAMS / 100, "faults were played");
            assertTrue(result.refused() <= STREAMS / 100, "refused: " + result.refused());
            long until = System.nanoTime() + 5_000_000_000L;
            while (listening.count(StreamCounters::open) > 0 && System.nanoTime() < until) {
                Thread.sleep(10);
            }
            assertEquals(0, listening.count(StreamCounters::open), "streams left over");
        }
    }
}

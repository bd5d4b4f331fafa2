package topazvalve.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the measuring tools: stand-in source, clients and process metrics. Measured values are not checked. */
class StandInSourceTest {
    private static final int SERVERS = 40;
    /** Long enough that no heartbeat is sent during a test. */
    private static final int HEARTBEAT_INTERVAL_MILLIS = 600_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void everyWatchReceivesAChangeAndItsBytesAreCounted() throws IOException, InterruptedException {
        try (StandInSourceProcess source = StandInSourceProcess.startUnbounded(SERVERS, HEARTBEAT_INTERVAL_MILLIS);
                WatchClients watches = new WatchClients(group, source.port())) {
            watches.open(7, 1);
            watches.expectChange();
            long bytesBefore = watches.receivedBytes();
            PublishedChange change = source.publishDelta(3);
            assertEquals(2, change.revision());
            assertTrue(watches.awaitChange() > change.publishedAtNanos());
            int lineLength = EndpointListJson.delta(2, 3, true).length();
            int chunkLength = lineLength + Integer.toHexString(lineLength).length() + 4;
            assertEquals(7L * chunkLength, watches.receivedBytes() - bytesBefore);
            watches.expectChange();
            assertEquals(3, source.publishSnapshot().revision());
            watches.awaitChange();
        }
    }

    @Test
    void unboundedSourceAnswersEveryCallAtOnce() throws IOException, InterruptedException {
        try (StandInSourceProcess source = StandInSourceProcess.startUnbounded(SERVERS, HEARTBEAT_INTERVAL_MILLIS)) {
            SnapshotClients.run(group, source.port(), 30, 1, 20);
            assertEquals(30, source.callsSinceLastRequest());
        }
    }

    @Test
    void boundedSourceRejectsCallsAfterTheTimeoutAndClientsRetry() throws IOException, InterruptedException {
        // With 20 calls per second and a timeout of 60 ms, some of 6 simultaneous calls are rejected.
        try (StandInSourceProcess source = StandInSourceProcess.start(SERVERS, 20, 60, HEARTBEAT_INTERVAL_MILLIS)) {
            double seconds = SnapshotClients.run(group, source.port(), 6, 1, 20);
            assertTrue(seconds >= 6 / 20.0, seconds + " s");
            assertTrue(source.callsSinceLastRequest() > 6);
        }
    }

    @Test
    void readsCpuAndMemoryOfAProcess() throws IOException, InterruptedException {
        try (StandInSourceProcess source = StandInSourceProcess.startUnbounded(SERVERS, HEARTBEAT_INTERVAL_MILLIS)) {
            assertTrue(ProcessMetrics.cpuNanosSince(Map.of(), source.pid()) > 0);
            assertTrue(ProcessMetrics.residentMib(source.pid()) > ProcessMetrics.liveHeapMib(source.pid()));
        }
    }
}

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

/** What the measurement measures with does what it is said to do; no figure is looked at here. */
class StandInSourceTest {
    private static final int SERVERS = 40;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void eachWatchHasAChangeAndItsBytesAreCounted() throws IOException, InterruptedException {
        try (MeasuredServer source = MeasuredServer.source(SERVERS, 0, 1000, 600_000);
                Watchers watchers = new Watchers(group, source.port())) {
            watchers.open(7, 1);
            watchers.expect();
            long before = watchers.bytes();
            MeasuredServer.Told told = source.change(3);
            assertEquals(2, told.rev());
            assertTrue(watchers.awaitLast() > told.nanos());
            int line = ListText.change(2, 3, true).length();
            int chunk = line + Integer.toHexString(line).length() + 4;
            assertEquals(7L * chunk, watchers.bytes() - before);
            watchers.expect();
            assertEquals(3, source.whole().rev());
            watchers.awaitLast();
        }
    }

    @Test
    void withoutABoundEachCallIsAnsweredAtOnce() throws IOException, InterruptedException {
        try (MeasuredServer source = MeasuredServer.source(SERVERS, 0, 1000, 600_000)) {
            Fetchers.run(group, source.port(), 30, 1, 20);
            assertEquals(30, source.calls());
        }
    }

    @Test
    void boundedItRefusesWhoWaitsTooLongAndTheyComeAgain() throws IOException, InterruptedException {
        // 20 calls a second and 60 ms of patience: of 6 at once some are refused.
        try (MeasuredServer source = MeasuredServer.source(SERVERS, 20, 60, 600_000)) {
            double last = Fetchers.run(group, source.port(), 6, 1, 20);
            assertTrue(last >= 6 / 20.0, last + " s");
            assertTrue(source.calls() > 6);
        }
    }

    @Test
    void theSystemSaysWhatAProcessTakes() throws IOException, InterruptedException {
        try (MeasuredServer source = MeasuredServer.source(SERVERS, 0, 1000, 600_000)) {
            assertTrue(ProcessFigures.cpuSince(Map.of(), source.pid()) > 0);
            assertTrue(ProcessFigures.residentMib(source.pid()) > ProcessFigures.liveHeapMib(source.pid()));
        }
    }
}

package topazvalve.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A flood of connections on which nothing is sent: one thread closes and reopens them in turn as fast as it can, so
 * that the sidecar always has connections to accept.
 */
final class ConnectionFlood implements AutoCloseable {
    private final InetSocketAddress address;
    private final SocketChannel[] channels;
    private final CountDownLatch firstConnected = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean stopped;

    /** Starts a flood of {@code clients} simultaneous connections. */
    ConnectionFlood(InetSocketAddress address, int clients) {
        this.address = address;
        this.channels = new SocketChannel[clients];
        StubServer.startDaemonThread(this::run);
    }

    private void run() {
        try {
            for (int i = 0; !stopped; i = (i + 1) % channels.length) {
                close(i);
                try {
                    channels[i] = SocketChannel.open(address);
                    firstConnected.countDown();
                } catch (IOException e) {
                    // The sidecar is not listening yet.
                    channels[i] = null;
                }
            }
            for (int i = 0; i < channels.length; i++) {
                close(i);
            }
        } finally {
            ended.countDown();
        }
    }

    private void close(int client) {
        try {
            if (channels[client] != null) {
                channels[client].close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until a client has connected. */
    void awaitConnected() throws InterruptedException {
        if (!firstConnected.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("no connection was established");
        }
    }

    @Override
    public void close() {
        stopped = true;
        try {
            if (!ended.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the flood did not stop in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package topazvalve.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Clients that say nothing: each in turn is closed and connects again, as fast as one thread can. */
final class Flood implements AutoCloseable {
    private final InetSocketAddress address;
    private final SocketChannel[] held;
    private final CountDownLatch connected = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean over;

    Flood(InetSocketAddress address, int clients) {
        this.address = address;
        this.held = new SocketChannel[clients];
        StubServer.startDaemonThread(this::run);
    }

    private void run() {
        try {
            for (int i = 0; !over; i = (i + 1) % held.length) {
                close(i);
                try {
                    held[i] = SocketChannel.open(address);
                    connected.countDown();
                } catch (IOException e) {
                    // Nobody listens yet.
                    held[i] = null;
                }
            }
            for (int i = 0; i < held.length; i++) {
                close(i);
            }
        } finally {
            ended.countDown();
        }
    }

    private void close(int client) {
        try {
            if (held[client] != null) {
                held[client].close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    void awaitConnected() throws InterruptedException {
        if (!connected.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("nobody ever connected");
        }
    }

    @Override
    public void close() {
        over = true;
        try {
            if (!ended.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the flood goes on");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

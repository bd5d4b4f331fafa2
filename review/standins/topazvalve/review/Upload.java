package topazvalve.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One {@code charge-account} request with a long body, which its client writes at a steady rate. */
final class Upload {
    private static final int DEADLINE_MILLIS = 2500;
    private static final int STEP_MILLIS = 50;

    final String id;
    private final int bodyBytes;
    private final int bytesPerSecond;
    /** When the last byte was written; 0 if it was not. */
    volatile long lastByteNanos;
    /** When the last byte of a whole answer was read; 0 if there was none. */
    volatile long answeredNanos;

    volatile int status;
    volatile String end = "open";
    private volatile Socket socket;

    Upload(String id, int bodyBytes, int bytesPerSecond) {
        this.id = id;
        this.bodyBytes = bodyBytes;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Sends the request and waits for its answer; a refused or broken connection ends it. */
    void run(InetSocketAddress sidecar) {
        try (Socket opened = new Socket()) {
            socket = opened;
            opened.setTcpNoDelay(true);
            opened.connect(sidecar, 1000);
            Thread writer = Lab.thread("upload " + id, () -> write(opened.getOutputStream()));
            HttpReader.Message answer = new HttpReader(new BufferedInputStream(opened.getInputStream())).readResponse();
            status = answer.status;
            answeredNanos = answer.lastByteNanos;
            end = "answered " + status;
            writer.join(100);
        } catch (IOException | InterruptedException e) {
            end = "no answer: " + e.getMessage();
        }
    }

    private void write(OutputStream out) throws Exception {
        String head = "POST /api/" + id.substring(0, 2) + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                + "\r\nReq-Kind: charge-account\r\nReq-Deadline-Ms: " + DEADLINE_MILLIS
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        byte[] step = new byte[bytesPerSecond * STEP_MILLIS / 1000];
        Arrays.fill(step, (byte) 'x');
        long begin = System.nanoTime();
        int written = 0;
        for (int i = 1; written < bodyBytes; i++) {
            int count = Math.min(step.length, bodyBytes - written);
            out.write(step, 0, count);
            written += count;
            if (written < bodyBytes) {
                Lab.sleepUntil(begin + i * STEP_MILLIS * 1_000_000L);
            }
        }
        lastByteNanos = System.nanoTime();
    }

    /** Returns when the client's time is over, by its deadline. */
    long deadlineNanos() {
        return lastByteNanos + DEADLINE_MILLIS * 1_000_000L;
    }

    /** Gives up: closes the connection. */
    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // closed already
        }
    }
}

package topazvalve.simulator;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import org.slf4j.Logger;
import topazvalve.logging.Logging;
import topazvalve.policy.SidecarPolicy;

/** Entry point: {@code java -jar topazvalve-simulator-adapter.jar adapter} plays the wire on standard streams. */
public final class Main {
    private static final int HEADER = 16;

    private static final Logger LOG = Logging.of("topazvalve");

    private Main() {}

    /** Runs the adapter until input ends; a malformed frame ends it with a message and exit status 1. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar topazvalve-simulator-adapter.jar adapter");
            System.exit(2);
        }
        try {
            run(
                    new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out));
        } catch (ProtocolException | IllegalArgumentException | IOException e) {
            LOG.error("{}", e.getMessage());
            System.exit(1);
        }
    }

    static void run(InputStream in, OutputStream out) throws IOException {
        run(in, out, SidecarPolicy::new);
    }

    /** Runs until input ends, with instances of another make. */
    public static void run(InputStream in, OutputStream out, LoadBalancerFactory decider) throws IOException {
        ReplyFrame replies = new ReplyFrame();
        InstanceHost host = new InstanceHost(replies, decider);
        byte[] header = new byte[HEADER];
        byte[] body = new byte[1 << 16];
        for (long frame = 0; ; frame++) {
            int got = in.readNBytes(header, 0, HEADER);
            if (got == 0) {
                return;
            }
            if (got < HEADER) {
                throw new ProtocolException("frame " + frame + ": header cut short after " + got + " bytes");
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            long now = head.getLong();
            long length = head.getInt() & 0xffffffffL;
            long records = head.getInt() & 0xffffffffL;
            if (now < 0 || length < HEADER || length > Integer.MAX_VALUE - 64) {
                throw new ProtocolException("frame " + frame + ": clock or length out of range");
            }
            int size = (int) length - HEADER;
            if (body.length < size) {
                body = new byte[size + size / 2];
            }
            got = in.readNBytes(body, 0, size);
            if (got < size) {
                throw new ProtocolException(
                        "frame " + frame + ": states " + length + " bytes, ends after " + (got + HEADER));
            }
            try {
                host.batch(now, records, new FrameReader(body, size));
            } catch (ProtocolException | IllegalArgumentException e) {
                throw new ProtocolException("frame " + frame + ": " + e.getMessage());
            }
            replies.writeTo(out);
        }
    }
}

package topazvalve.simulator;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;
import org.slf4j.Logger;
import topazvalve.logging.Logging;
import topazvalve.policy.SidecarPolicy;

/**
 * Entry point of the simulator adapter: {@code java -jar topazvalve-simulator-adapter.jar adapter} speaks the
 * simulator's protocol on standard input and output. It replies to each frame of events with one frame of actions.
 */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private static final Logger LOG = Logging.of("topazvalve");

    private Main() {}

    /** Runs the adapter until the input ends; on a malformed frame it logs the error and exits with status 1. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar topazvalve-simulator-adapter.jar adapter");
            System.exit(EXIT_USAGE);
        }
        try {
            runOnStandardStreams(SidecarPolicy::new);
        } catch (ProtocolException | IllegalArgumentException | IOException e) {
            LOG.error("{}", e.getMessage());
            System.exit(EXIT_FAILURE);
        }
    }

    /** Runs on standard input and output until the input ends, with the instances that {@code factory} creates. */
    public static void runOnStandardStreams(LoadBalancerFactory factory) throws IOException {
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), INPUT_BUFFER_BYTES);
        run(in, new FileOutputStream(FileDescriptor.out), factory);
    }

    /**
     * Runs until {@code in} ends, with the instances that {@code factory} creates.
     *
     * @throws ProtocolException if a frame is malformed; the replies to earlier frames have been written
     */
    static void run(InputStream in, OutputStream out, LoadBalancerFactory factory) throws IOException {
        ReplyFrame reply = new ReplyFrame();
        InstanceHost host = new InstanceHost(reply, factory);
        FrameReader frames = new FrameReader(in);
        for (long frameNumber = 0; ; frameNumber++) {
            try {
                Optional<FrameReader.Frame> frame = frames.next();
                if (frame.isEmpty()) {
                    return;
                }
                host.handle(frame.get());
            } catch (ProtocolException e) {
                throw ProtocolException.inFrame(frameNumber, e);
            } catch (IllegalArgumentException e) {
                throw ProtocolException.invalidArgument(frameNumber, e);
            }
            reply.writeTo(out);
        }
    }
}

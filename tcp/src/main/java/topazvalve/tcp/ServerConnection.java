package topazvalve.tcp;

import io.netty.channel.Channel;
import topazvalve.tcp.StreamCounters.EndReason;

/** A connection to a server, ready for one stream. */
interface ServerConnection {
    /** Returns the channel; nothing is read from it before the stream is open. */
    Channel channel();

    /** Passes all data from the server to {@code splice} from now on. */
    void attach(StreamSplice splice);

    /** Completes the core's attempt and closes the connection. Called when the stream has ended. */
    void streamEnded(EndReason reason);
}

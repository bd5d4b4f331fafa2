package topazvalve.tcp;

import io.netty.channel.Channel;
import topazvalve.tcp.StreamCounters.EndReason;

/** A connection to a server on which a stream may begin. */
interface ServerLink {
    /** Returns the connection; nothing is read from it before the stream begins. */
    Channel channel();

    /** Passes what the server sends to {@code splice} from now on. */
    void join(StreamSplice splice);

    /** Ends the core's attempt and closes the connection, after the stream has ended. */
    void streamEnded(EndReason reason);
}

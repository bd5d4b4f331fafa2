package topazvalve.tcp;

import io.netty.channel.Channel;
import topazvalve.tcp.StreamCounters.Ended;

/** A connection to a server on which a stream may begin. */
interface ServerLink {
    /** The connection; nothing is read from it yet. */
    Channel channel();

    /** From now on this is told what comes from the server. */
    void join(StreamSplice relay);

    /** The stream has ended. */
    void ended(Ended how);
}

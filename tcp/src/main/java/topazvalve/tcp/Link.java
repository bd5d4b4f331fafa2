package topazvalve.tcp;

import io.netty.channel.Channel;
import topazvalve.tcp.StreamCounts.Ended;

/** A connection to a server on which a stream may begin. */
interface Link {
    /** The connection; nothing is read from it yet. */
    Channel channel();

    /** From now on this is told what comes from the server. */
    void join(Relay relay);

    /** The stream has ended. */
    void ended(Ended how);
}

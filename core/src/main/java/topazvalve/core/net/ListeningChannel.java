package topazvalve.core.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket whose accepted connections are {@link ClientChannel}s. */
public final class ListeningChannel extends NioServerSocketChannel {
    /** Creates a channel with a socket of its own. */
    public ListeningChannel() {}

    /** Creates a channel for a socket that listens already. */
    public ListeningChannel(ServerSocketChannel socket) {
        super(socket);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        accepted.add(new ClientChannel(this, socket));
        return 1;
    }
}

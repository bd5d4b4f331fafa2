package topazvalve.simulation.real;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Starts the threads and opens the connections of clients that disturb a sidecar beside the usual ones. */
final class DisturbingClients {
    private DisturbingClients() {}

    /** Starts a thread that does not keep the process alive. */
    static void start(Runnable task) {
        Thread thread = new Thread(task, "disturbing-client");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Opens a connection to a port of loopback.
     *
     * @param bufferBytes the size of the socket's buffers; 0 for the system's own
     */
    static Socket connect(int port, int bufferBytes) throws IOException {
        Socket socket = new Socket();
        if (bufferBytes > 0) {
            socket.setReceiveBufferSize(bufferBytes);
            socket.setSendBufferSize(bufferBytes);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return socket;
    }

    /** Reads and discards what comes until the end of the connection, and closes it. */
    static void readAll(Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection has ended.
        } finally {
            close(socket);
        }
    }

    /** Closes a connection, whatever its state. */
    static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // closed all the same
        }
    }
}

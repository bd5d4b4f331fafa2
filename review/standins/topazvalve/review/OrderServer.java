package topazvalve.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** A stand-in for an order server; what it does with a request is up to its behaviour. */
final class OrderServer {
    /** What the server does with a whole request. */
    interface Behaviour {
        void handle(OrderServer server, Connection connection, HttpReader.Message request) throws Exception;
    }

    /** One connection from a sidecar. */
    static final class Connection {
        final Socket socket;
        final HttpReader reader;
        /** The latest whole request; set by the behaviour. */
        volatile HttpReader.Message lastRequest;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.reader = new HttpReader(new BufferedInputStream(socket.getInputStream()));
        }

        /** Writes bytes after a delay; does nothing if the connection has ended. */
        void sendAfter(byte[] bytes, long delayNanos) {
            Lab.TIMERS.schedule(() -> send(bytes), delayNanos, TimeUnit.NANOSECONDS);
        }

        void send(byte[] bytes) {
            try {
                synchronized (this) {
                    socket.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                // the sidecar has closed the connection
            }
        }
    }

    final String name;
    final InetSocketAddress address;
    /** While set, the server takes requests and answers none. */
    volatile boolean hangs;

    OrderServer(String name, Behaviour behaviour) throws IOException {
        this.name = name;
        @SuppressWarnings("resource") // open until the process ends
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        address = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        Lab.thread(name, () -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.thread(name + " connection", () -> serve(socket, behaviour));
            }
        });
    }

    private void serve(Socket socket, Behaviour behaviour) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            HttpReader.Message request = connection.reader.readRequest();
            while (request != null) {
                if (request.startLine.startsWith("GET /alive ")) {
                    if (!hangs) {
                        connection.send(Lab.response(200, "alive"));
                    }
                } else {
                    behaviour.handle(this, connection, request);
                }
                request = connection.reader.readRequest();
            }
        }
    }
}

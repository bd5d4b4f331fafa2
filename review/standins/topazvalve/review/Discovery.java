package topazvalve.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Discovery with a list that does not change: whole lists, and watches with an empty line every 2 s. */
final class Discovery {
    private static final int HEARTBEAT_MILLIS = 2000;

    final InetSocketAddress address;
    private final String list;

    Discovery(String list) throws IOException {
        this.list = list;
        @SuppressWarnings("resource") // open until the process ends
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        address = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        Lab.thread("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                Lab.thread("discovery call", () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader.Message call = new HttpReader(new BufferedInputStream(socket.getInputStream())).readRequest();
            if (call == null) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            if (!call.startLine.contains("watch=1")) {
                out.write(Lab.response(200, list));
                return;
            }
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(out, list + "\n");
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                writeChunk(out, "\n");
            }
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
}

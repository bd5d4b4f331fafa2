import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery: answers fetches with the whole list, and watches with changes and an empty line each 2 s. */
final class Discovery {
    private record Change(long revision, String entry) {}

    private final ServerSocket socket;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 1;

    Discovery() throws IOException {
        socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        OrderServer.daemon(this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Lists an order server, or changes its entry; {@code state} is SERVING, DRAINING or DELETED. */
    synchronized void list(String uid, int port, String zone, int group, String state, long bootMillis) {
        String entry = "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                + "\",\"model\":\"fast-2core\",\"pod_group\":" + group + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
        revision++;
        if (state.equals("DELETED")) {
            entries.remove(uid);
        } else {
            entries.put(uid, entry);
        }
        changes.add(new Change(revision, entry));
        notifyAll();
    }

    /** Returns the whole list. */
    synchronized String wholeList() {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket accepted = socket.accept();
                OrderServer.daemon(() -> serve(accepted));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            String head = readHead(accepted.getInputStream());
            OutputStream out = accepted.getOutputStream();
            if (!head.contains("watch=1")) {
                byte[] list = wholeList().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(list);
                out.flush();
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watch(out);
        } catch (IOException | InterruptedException e) {
            // The watch has ended.
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("end of input");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private void watch(OutputStream out) throws IOException, InterruptedException {
        long sent;
        synchronized (this) {
            sent = revision;
            chunk(out, wholeList() + "\n");
        }
        long lastSent = System.nanoTime();
        while (true) {
            String update = null;
            synchronized (this) {
                if (revision == sent) {
                    wait(100);
                }
                if (revision > sent) {
                    List<String> changed = new ArrayList<>();
                    for (Change change : changes) {
                        if (change.revision > sent) {
                            changed.add(change.entry);
                        }
                    }
                    sent = revision;
                    update = "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}\n";
                }
            }
            if (update != null) {
                chunk(out, update);
                lastSent = System.nanoTime();
            } else if (System.nanoTime() - lastSent >= 2_000_000_000L) {
                chunk(out, "\n");
                lastSent = System.nanoTime();
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] size = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[size.length + bytes.length + 2];
        System.arraycopy(size, 0, whole, 0, size.length);
        System.arraycopy(bytes, 0, whole, size.length, bytes.length);
        whole[whole.length - 2] = '\r';
        whole[whole.length - 1] = '\n';
        out.write(whole);
        out.flush();
    }
}

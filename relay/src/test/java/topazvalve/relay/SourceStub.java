package topazvalve.relay;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Collectors;

/**
 * A stand-in for a source that serves endpoint lists by the published protocol. It logs all changes since its last
 * restart and answers a watch from any logged revision. Tests can pause its watches, silence it, and make it truncate
 * snapshots. Its state is guarded by its own lock.
 */
final class SourceStub implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The request line of each received request. */
    final BlockingQueue<String> requestLines = new LinkedBlockingQueue<>();

    private final ServerSocket server;
    private final Map<String, String> states = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> changedUids = new TreeMap<>();
    private final Map<Socket, List<String>> pendingTexts = new LinkedHashMap<>();
    private final boolean sendsEpoch;
    private long epoch = 1;
    private long revision;
    /** Watches whose texts are kept pending until they are resumed. */
    private final List<Socket> paused = new ArrayList<>();

    private boolean truncating;
    private boolean silent;

    SourceStub(boolean sendsEpoch, long revision) {
        this.sendsEpoch = sendsEpoch;
        this.revision = revision;
        try {
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::accept);
        startThread(this::sendHeartbeats);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    static String entry(String uid, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"model\":\"m\","
                + "\"pod_group\":0,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"color\":\"blue {\"}";
    }

    /** Changes endpoints, given as uid, state, uid, state, in one revision, which is returned. */
    synchronized long change(String... uidsAndStates) {
        revision++;
        List<String> uids = new ArrayList<>();
        for (int i = 0; i < uidsAndStates.length; i += 2) {
            states.put(uidsAndStates[i], uidsAndStates[i + 1]);
            uids.add(uidsAndStates[i]);
        }
        changedUids.put(revision, uids);
        pendingTexts.keySet().forEach(watch -> send(watch, line(false, uids)));
        return revision;
    }

    /** Restarts the source at a revision with these endpoints and a new epoch, and closes all connections. */
    synchronized void restart(long newRevision, String... uidsAndStates) throws IOException {
        epoch++;
        revision = newRevision;
        changedUids.clear();
        states.clear();
        for (int i = 0; i < uidsAndStates.length; i += 2) {
            states.put(uidsAndStates[i], uidsAndStates[i + 1]);
        }
        closeConnections();
    }

    synchronized void closeConnections() throws IOException {
        for (Socket each : List.copyOf(pendingTexts.keySet())) {
            each.close();
        }
        pendingTexts.clear();
        paused.clear();
    }

    /** Pauses one of the open watches, counted from 0 in the order in which they were opened. */
    synchronized void pauseWatch(int index) {
        paused.add(List.copyOf(pendingTexts.keySet()).get(index));
    }

    /** Resumes all paused watches and sends their pending texts in order. */
    synchronized void resumeWatches() {
        List<Socket> resumed = List.copyOf(paused);
        paused.clear();
        resumed.forEach(watch -> send(watch, ""));
    }

    /** While silent, the source accepts requests without answering them, and its watches are paused. */
    synchronized void setSilent(boolean newSilent) {
        silent = newSilent;
        if (newSilent) {
            paused.addAll(pendingTexts.keySet());
        } else {
            resumeWatches();
        }
    }

    /** While truncating, the source closes the connection in the middle of every snapshot. */
    synchronized void setTruncating(boolean newTruncating) {
        truncating = newTruncating;
    }

    private String line(boolean fullSnapshot, List<String> uids) {
        return "{\"rev\":" + revision + (sendsEpoch ? ",\"epoch\":" + epoch : "") + ",\"all\":" + fullSnapshot
                + ",\"targets\":["
                + uids.stream().map(uid -> entry(uid, states.get(uid))).collect(Collectors.joining(",")) + "]}\n";
    }

    /** Sends a text to a watch after its pending texts; keeps the text pending if the watch is paused. */
    private void send(Socket watch, String text) {
        List<String> pending = pendingTexts.get(watch);
        if (pending == null) {
            return;
        }
        pending.add(text);
        if (!paused.contains(watch)) {
            try {
                for (String each : pending) {
                    write(watch, each.isEmpty() ? "" : chunk(each));
                }
            } catch (IOException e) {
                pendingTexts.remove(watch);
            }
            pending.clear();
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The stub was closed.
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = in.readLine();
            requestLines.add(line == null ? "" : line);
            long from = Long.parseLong(line.replaceAll(".*from=([0-9]+).*", "$1"));
            answer(socket, from);
            while (in.read() >= 0) {}

        } catch (IOException | NumberFormatException e) {
            // The peer has closed the connection.
        }
        synchronized (this) {
            pendingTexts.remove(socket);
            paused.remove(socket);
        }
    }

    private synchronized void answer(Socket socket, long from) throws IOException {
        pendingTexts.put(socket, new ArrayList<>());
        if (silent) {
            paused.add(socket);
            return;
        }
        write(socket, RESPONSE_HEAD);
        boolean deltaPossible = from > 0
                && from <= revision
                && (changedUids.isEmpty() ? from == revision : from >= changedUids.firstKey() - 1);
        if (deltaPossible) {
            List<String> uids = changedUids.tailMap(from, false).values().stream()
                    .flatMap(List::stream)
                    .distinct()
                    .toList();
            send(socket, uids.isEmpty() ? "\n" : line(false, uids));
        } else {
            List<String> live = states.keySet().stream()
                    .filter(uid -> !states.get(uid).equals("DELETED"))
                    .toList();
            String snapshot = line(true, live);
            if (truncating) {
                write(socket, chunk(snapshot).substring(0, snapshot.length() / 2));
                pendingTexts.remove(socket);
                socket.close();
            } else {
                send(socket, snapshot);
            }
        }
    }

    private void sendHeartbeats() {
        try {
            while (!server.isClosed()) {
                Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
                synchronized (this) {
                    List.copyOf(pendingTexts.keySet()).forEach(watch -> {
                        if (!paused.contains(watch)) {
                            send(watch, "\n");
                        }
                    });
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (this) {
            closeConnections();
        }
    }
}

package topazvalve.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** What the cases share: the record, threads, timers, and the settings of a small deployment. */
final class Lab {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final int MAX_SECONDS = 118;

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    /** A case, which returns its exit status. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });

    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    final Path root;
    final Path work;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Lab(Path root, Path work, Path recordFile) throws IOException {
        this.root = root;
        this.work = work;
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    /** Runs a case; the arguments are the root of the project, a temporary folder and the file of the record. */
    static void main(String[] arguments, Case toRun) {
        int status = COULD_NOT_RUN;
        TIMERS.schedule(() -> System.exit(COULD_NOT_RUN), MAX_SECONDS, TimeUnit.SECONDS);
        try {
            Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]), Path.of(arguments[2]));
            try {
                status = toRun.run(lab);
            } catch (Exception e) {
                lab.log("could not run: " + e);
            }
            lab.log("exit status " + status);
            lab.record.close();
        } catch (IOException e) {
            System.err.println(e);
        }
        System.exit(status);
    }

    /** Writes a line to the record, with the milliseconds since the start of the case. */
    void log(String line) {
        synchronized (record) {
            record.printf("%8.1f %s%n", (System.nanoTime() - startNanos) / 1e6, line);
        }
    }

    /** Writes a line to the record and to standard output. */
    void report(String line) {
        log(line);
        System.out.println(line);
    }

    /** Starts a daemon thread; an exception ends it silently, as the end of a connection does. */
    static Thread thread(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // the connection or the run has ended
                    }
                },
                name,
                256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    static byte[] response(int status, String body) {
        String text = "HTTP/1.1 " + status + " Answer\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns a whole list in discovery's form, of ready servers: those with even numbers are in cardiff, the others in wrexham. */
    static String list(List<InetSocketAddress> servers) {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s-" + i + "\",\"endpoint\":\"" + SidecarProcess.hostPort(servers.get(i)))
                    .append("\",\"az\":\"" + (i % 2 == 0 ? "cardiff" : "wrexham"))
                    .append("\",\"model\":\"fast-2core\",\"pod_group\":" + (i % 2))
                    .append(",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":41,\"all\":true,\"targets\":[" + targets + "]}";
    }

    /**
     * Returns the configuration of a sidecar of cambria-orders, with the settings that the wire page shows.
     *
     * @param sockets its limit of file descriptors
     */
    static String config(int sockets) {
        return List.of(
                        "{'name':'n1','listen':'LISTEN','admin':'ADMIN','discovery':'DISCOVERY','seed':'8c1f30d2',",
                        "'limits':{'cores':1.0,'memory_mb':192,'sockets':" + sockets + "},'known':KNOWN,'settings':{",
                        "'discovery':'subscribe','quantum':5000000,'rank':0,'replicasOfMe':3,'zone':0,",
                        "'zones':['cardiff','wrexham'],'kinds':['fast-2core','slow-2core'],",
                        "'weights':'rough','valueBy':'request','overShareWorth':0.1,",
                        "'report':{'fields':[],'how':'silent'},'clients':{'marksRetry':false},",
                        "'caps':{'connIdle':5000000000,'connectTimeout':200000000,'maxRetryAfter':2000000000,",
                        "'mayCancel':true,'mayProbe':true,'parallelTries':true,'peers':false,'retryAfter':true,",
                        "'streamsPerConn':1,'tryLimit':4},",
                        "'charges':{'probe':0.01,'waste':0.08,'handshake':0.02},",
                        "'rules':{'answerSlack':20000000,'askWithin':10000000000,'coldShare':0.13,",
                        "'overloadFactor':4.0,'rampTime':21000000000,'stopSendingWithin':500000000,",
                        "'tipAfter':3000000000},",
                        "'profiles':[{'name':'charge-account','slo':600000000,'deadline':2500000000,",
                        "'semantics':'once','keyScope':'all','keyTtl':5000000000,'lateShare':0.0,",
                        "'stream':false,'worth':2.0},",
                        "{'name':'book-delivery','slo':400000000,'deadline':1000000000,'semantics':'by_key',",
                        "'keyScope':'cell','keyTtl':5000000000,'lateShare':0.0,'stream':false,'worth':5.0}]}}")
                .stream()
                .collect(Collectors.joining("\n"))
                .replace('\'', '"');
    }
}

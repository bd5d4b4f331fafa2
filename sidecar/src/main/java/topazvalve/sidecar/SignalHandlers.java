package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import topazvalve.logging.Logging;

/** Handlers of the process's signals: SIGHUP reloads the configuration, SIGTERM shuts the sidecar down. */
final class SignalHandlers {
    private static final Logger LOG = Logging.of("topazvalve");
    private static final long TRANSFER_CHECK_INTERVAL_MILLIS = 100;
    /** How long the event loop may be held up; longer than a stall that the rest of the process allows for. */
    private static final long LOOP_RESPONSE_MILLIS = 5_000;

    private SignalHandlers() {}

    /**
     * Runs an action on each SIGHUP, on a thread of the JVM. Without a handler the JVM would exit.
     *
     * <p>Java can handle signals only through {@code sun.misc.Signal} of the module jdk.unsupported. It is used by
     * reflection because the compiler warns about the class name, and that warning can't be suppressed separately.
     */
    static void onSighup(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
        } catch (ReflectiveOperationException e) {
            LOG.error("no SIGHUP handler, the signal would end this process: {}", e.toString());
        }
    }

    /**
     * Shuts a sidecar down on SIGTERM. The shutdown hook keeps the process alive until every request is answered, and
     * then halts it with status 0. After {@link Sidecar#maxShutdownMillis} it waits only for transfers that make
     * progress. The JVM ignores a further SIGTERM meanwhile.
     */
    static void shutDownOnSigterm(EventLoop loop, Sidecar sidecar) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            awaitShutdown(loop, sidecar);
            Runtime.getRuntime().halt(0);
        }));
    }

    private static void awaitShutdown(EventLoop loop, Sidecar sidecar) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> sidecar.shutDown(done));
        try {
            boolean isDone = done.await(sidecar.maxShutdownMillis(), TimeUnit.MILLISECONDS);
            while (!isDone && hasTransfers(loop, sidecar)) {
                isDone = done.await(TRANSFER_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            if (!isDone) {
                LOG.warn("shutdown timed out with requests or connections still open");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks the event loop; one that doesn't answer transfers nothing. */
    private static boolean hasTransfers(EventLoop loop, Sidecar sidecar) throws InterruptedException {
        Future<Boolean> answer = loop.submit(sidecar::hasTransfers);
        return answer.await(LOOP_RESPONSE_MILLIS, TimeUnit.MILLISECONDS) && answer.isSuccess() && answer.getNow();
    }
}

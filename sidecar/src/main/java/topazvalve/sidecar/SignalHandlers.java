package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import topazvalve.logging.Logging;

/** Connects the process's signals to the sidecar: SIGHUP reloads the configuration, SIGTERM shuts down. */
final class SignalHandlers {
    private static final Logger LOG = Logging.of("topazvalve");

    private SignalHandlers() {}

    /**
     * Runs an action at each SIGHUP, on a thread of the JVM's own. Without a handler the JVM would exit.
     *
     * <p>Java's only way to a signal is {@code sun.misc.Signal}, from the module jdk.unsupported. It is reached by
     * reflection because the compiler warns of its name, and that warning can't be suppressed by itself.
     */
    static void onSighup(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ours = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
        } catch (ReflectiveOperationException e) {
            LOG.error("no SIGHUP handler, the signal would end this process: {}", e.toString());
        }
    }

    /**
     * Shuts a sidecar down at SIGTERM. The shutdown hook keeps the process alive until every request is answered,
     * at most for {@link Sidecar#maxShutdownMillis}, and then halts it with status 0.
     */
    static void shutDownAtSigterm(EventLoop loop, Sidecar sidecar) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            awaitShutdown(loop, sidecar);
            Runtime.getRuntime().halt(0);
        }));
    }

    private static void awaitShutdown(EventLoop loop, Sidecar sidecar) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> sidecar.shutDown(done));
        try {
            if (!done.await(sidecar.maxShutdownMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("shutdown timed out with requests or connections still open");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package topazvalve.simulation.virtual;

import java.util.ArrayDeque;

/** Runs events one after the other: an event that is dispatched by a running event runs after it, not within it. */
final class SerialDispatcher {
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean running;

    /** Runs an event, or queues it if another one is running. */
    void dispatch(Runnable event) {
        if (running) {
            waiting.add(event);
            return;
        }
        running = true;
        try {
            event.run();
            while (!waiting.isEmpty()) {
                waiting.poll().run();
            }
        } finally {
            running = false;
        }
    }

    /** Drops all queued events. */
    void clear() {
        waiting.clear();
    }
}

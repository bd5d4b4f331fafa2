package topazvalve.sidecar.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.sidecar.http.Answer;
import topazvalve.sidecar.http.Message;
import topazvalve.sidecar.stream.RequestBody;

/** One sending of a request. Until its last byte is written it has never run; after that it may have. */
public final class Attempt {
    private final EventLoop loop;
    final Pool pool;
    final Message message;
    final RequestBody body;
    final long wait;
    final AttemptListener listener;
    Connection connection;
    private Future<?> timer;
    boolean handedOn;
    boolean written;
    boolean over;

    Attempt(EventLoop loop, Pool pool, Message message, RequestBody body, long wait,
            AttemptListener listener) {
        this.loop = loop;
        this.pool = pool;
        this.message = message;
        this.body = body;
        this.wait = wait;
        this.listener = listener;
    }

    /** From now on it may take so many nanoseconds until its answer is whole or begins. */
    public void limit(long nanoseconds) {
        if (!over && timer == null) {
            timer = loop.schedule(this::late, nanoseconds, TimeUnit.NANOSECONDS);
        }
    }

    void unlimited() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Gives the attempt up and closes its connection. */
    public void cancel() {
        end(Outcome.CANCELLED);
    }

    private void late() {
        end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    void broken() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Ends it without an answer, unless it has ended before; its connection is of no further use. */
    void end(Outcome outcome) {
        if (!over) {
            if (connection != null) {
                connection.close();
            }
            end(outcome, null, LoadReport.NONE);
        }
    }

    void end(Outcome outcome, Answer answer, float[] load) {
        over = true;
        unlimited();
        if (!handedOn) {
            body.stopReading();
        }
        pool.unwritten.remove(this);
        listener.ended(outcome, answer, load);
    }
}

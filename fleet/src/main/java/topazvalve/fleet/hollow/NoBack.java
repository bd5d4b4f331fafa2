package topazvalve.fleet.hollow;

import java.net.InetSocketAddress;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Back;
import topazvalve.core.stream.RequestBody;
import topazvalve.decisions.Options;

/** The request path that a hollow sidecar does not have: no request comes, so nothing is ever sent. */
final class NoBack implements Back<Object, Object> {
    @Override
    public Attempt<Object, Object> send(
            long server, Object message, RequestBody body, long wait, AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("a hollow sidecar sends no request");
    }

    @Override
    public void probe(long server, AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("a hollow sidecar probes no server");
    }

    @Override
    public void listed(long server, InetSocketAddress address, long startedMs, boolean ready) {}

    @Override
    public void gone(long server) {}

    @Override
    public int listed() {
        return 0;
    }

    @Override
    public void closeIdle(long server) {}

    @Override
    public void retune(Options options) {}

    @Override
    public void close() {}
}

package topazvalve.sidecar;

import java.io.IOException;

/** A sidecar with two servers that respond alike. */
final class TwoServerFixture implements AutoCloseable {
    final StubServer one;
    final StubServer two;
    final SidecarFixture sidecar;

    TwoServerFixture(StubServer.Responder responder) throws Exception {
        one = new StubServer(responder);
        two = new StubServer(responder);
        sidecar = SidecarFixture.startWith(one, two);
    }

    /** Returns how many requests both servers together have received. */
    int receivedRequests() {
        return one.receivedHeads.size() + two.receivedHeads.size();
    }

    @Override
    public void close() throws IOException {
        sidecar.close();
        two.close();
        one.close();
    }
}

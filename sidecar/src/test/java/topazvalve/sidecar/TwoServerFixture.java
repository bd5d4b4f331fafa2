package topazvalve.sidecar;

import java.io.IOException;

/** A sidecar with two servers that respond in the same way. */
final class TwoServerFixture implements AutoCloseable {
    final StubServer one;
    final StubServer two;
    final SidecarFixture sidecar;

    TwoServerFixture(StubServer.Responder responder) throws Exception {
        one = new StubServer(responder);
        two = new StubServer(responder);
        sidecar = SidecarFixture.startWith(one, two);
    }

    /** Returns the number of requests that the two servers have received in total. */
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

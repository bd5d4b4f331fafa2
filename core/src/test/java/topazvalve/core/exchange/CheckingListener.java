package topazvalve.core.exchange;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.stream.FlowControl;

/** Checks that the client gets one final answer and that the parts of a response arrive in order. */
final class CheckingListener implements ResponseListener<String> {
    private final FakeBackend backend;
    private final List<String> finalAnswers = new ArrayList<>();
    private boolean responseStarted;
    private boolean clientDisconnected;

    CheckingListener(FakeBackend backend) {
        this.backend = backend;
    }

    /** Records a client disconnect. No answer may follow, unless there was one already. */
    void disconnectClient() {
        clientDisconnected = finalAnswers.isEmpty();
    }

    /** Returns whether the client disconnected before the final answer. */
    boolean isClientDisconnected() {
        return clientDisconnected;
    }

    boolean isResponseStarted() {
        return responseStarted;
    }

    boolean isAnswered() {
        return !finalAnswers.isEmpty();
    }

    List<String> finalAnswers() {
        return finalAnswers;
    }

    @Override
    public void responseReceived(String answer) {
        recordFinalAnswer("served");
    }

    @Override
    public void responseStarted(String first, long length, FlowControl rest) {
        assertTrue(!responseStarted && finalAnswers.isEmpty(), "response started twice or after the final answer");
        responseStarted = true;
    }

    @Override
    public void responseData(ByteBuf bytes) {
        assertTrue(responseStarted, "data received for a response that has not started");
        bytes.release();
    }

    @Override
    public void responseCompleted() {
        assertTrue(responseStarted, "completed a response that has not started");
        assertTrue(
                backend.startedAttempts.stream()
                        .allMatch(started -> !started.responseStarted || started.attempt.isCompleted()),
                "response completed while its attempt is still in flight");
        recordFinalAnswer("completed");
    }

    @Override
    public void responseAborted() {
        assertTrue(responseStarted, "aborted a response that has not started");
        recordFinalAnswer("aborted");
    }

    @Override
    public void rejected(long retryAfterNanos) {
        assertTrue(!responseStarted, "rejected during a response");
        recordFinalAnswer("rejected");
    }

    @Override
    public void failed() {
        assertTrue(!responseStarted, "failed during a response");
        recordFinalAnswer("failed");
    }

    private void recordFinalAnswer(String answer) {
        assertTrue(!clientDisconnected, "answered after the client disconnected: " + answer);
        finalAnswers.add(answer);
        assertTrue(finalAnswers.size() == 1, "answered twice: " + finalAnswers);
    }
}

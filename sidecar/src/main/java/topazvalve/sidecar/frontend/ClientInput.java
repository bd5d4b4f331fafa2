package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import java.util.function.Supplier;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.Scheduler;
import topazvalve.core.time.TurnQueue;

/**
 * The input of one client connection: when it is read ({@link InputPacing}), decoded ({@link RequestDecoder}) and
 * processed. What follows the request that is served waits, undecoded or as {@link PipelinedMessages}.
 */
final class ClientInput implements TurnQueue.Member {
    /** A read or a chunk of a body with fewer bytes costs as much as one of a head. */
    private static final int MIN_BULK_BYTES = 1 << 10;

    private final ClientConnection connection;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final InputAge age;
    private final InputPacing pacing;
    private final RequestBodyReceiver bodyReceiver;
    private final PipelinedMessages pipelinedMessages = new PipelinedMessages(this);
    private final LingeringClose lingeringClose;
    /** Writes a response that waits for a turn; null if there is none. */
    private Runnable deferredResponse;

    /**
     * Creates the input of a connection that has just been accepted.
     *
     * @param turns returns null as long as connections are not paced
     */
    ClientInput(
            ClientConnection connection,
            Channel channel,
            ByteBudget budget,
            Scheduler scheduler,
            Supplier<InputTurns> turns) {
        this.connection = connection;
        this.channel = channel;
        this.decoder = new RequestDecoder(connection, this, budget);
        this.age = new InputAge(scheduler, channel);
        this.pacing = new InputPacing(channel, turns, this);
        this.bodyReceiver = new RequestBodyReceiver(connection, this, channel, budget, age);
        this.lingeringClose = new LingeringClose(channel);
    }

    /** Returns the decoder, which belongs in front of the connection in the pipeline. */
    RequestDecoder decoder() {
        return decoder;
    }

    /** Returns the receiver of request bodies. */
    RequestBodyReceiver bodyReceiver() {
        return bodyReceiver;
    }

    /** Returns how the connection ends after its last response. */
    LingeringClose lingeringClose() {
        return lingeringClose;
    }

    /** Returns when the connection is read. */
    InputPacing pacing() {
        return pacing;
    }

    /** Called with each read; {@code filled} if it filled its buffer, so that more may be left in the socket. */
    void socketRead(boolean filled) {
        bodyReceiver.readCompleted(!filled);
    }

    /** Called at the end of the reads of one iteration of the event loop. */
    void readCompleted() {
        pacing.readCompleted();
        if (channel.config().isAutoRead()) {
            bodyReceiver.readRequested();
        }
    }

    /** Called when bytes are received; returns false if they must be discarded because no further request is served. */
    boolean bytesReceived(int byteCount) {
        recordRead(byteCount);
        if (!connection.state().discardsInput()) {
            connection.inputReceived();
            return true;
        }
        lingeringClose.addDiscarded(byteCount);
        if (!lingeringClose.mayRead()) {
            updateReading();
        }
        return false;
    }

    /** Records a read. What a read of a body without a known length contains is known only once it is decoded. */
    private void recordRead(int byteCount) {
        boolean isBulk = bodyReceiver.expectedBytes() > 0 || pacing.isBulk();
        if (belongsToBody() && isBulk && byteCount >= MIN_BULK_BYTES) {
            pacing.recordBulkData();
        } else {
            pacing.recordOperation();
        }
    }

    private void recordMessage(HttpObject message) {
        int byteCount =
                message instanceof HttpContent content ? content.content().readableBytes() : 0;
        if (belongsToBody() && byteCount >= MIN_BULK_BYTES) {
            pacing.recordBulkData();
        } else {
            pacing.recordOperation();
        }
    }

    private boolean belongsToBody() {
        return bodyReceiver.isIncomplete() && !bodyReceiver.isLastContentDeferred();
    }

    /** Processes a decoded message, or queues it behind the request that is served. */
    void messageDecoded(HttpObject message) {
        recordMessage(message);
        if (queuesInput()) {
            inputQueued();
            pipelinedMessages.add(message);
        } else {
            connection.process(message);
        }
    }

    /** Passes a message that was queued to the connection. */
    void process(HttpObject queued) {
        connection.process(queued);
    }

    /** Records that a response is about to be written. */
    void responseBegins() {
        age.responseBegins();
    }

    /** Called when input is queued: the client does not wait for its responses. */
    void inputQueued() {
        age.pipelinedInput();
        pacing.recordPipelining();
    }

    /** Returns whether input received now belongs to a later request and must be queued. */
    boolean queuesInput() {
        return bodyReceiver.isLastContentDeferred()
                || !pipelinedMessages.isEmpty()
                || (connection.state().isRequestSubmitted() && !bodyReceiver.isIncomplete());
    }

    /** Returns whether the next message in {@link PipelinedMessages} may be processed now. */
    boolean mayProcessQueued() {
        return !bodyReceiver.isLastContentDeferred()
                && (bodyReceiver.isIncomplete() || !connection.state().isRequestSubmitted());
    }

    /** Returns whether there is input behind the request that is served. */
    boolean hasQueued() {
        return !pipelinedMessages.isEmpty() || decoder.hasBuffered();
    }

    private boolean hasProcessable() {
        return !connection.state().discardsInput()
                && ((!pipelinedMessages.isEmpty() && mayProcessQueued()) || decoder.hasDecodableBytes());
    }

    /**
     * Writes a response of the sidecar's own, now or in a turn, so that clients that cause many of them are slowed down
     * and not the others.
     */
    void respondInTurn(Runnable response) {
        if (pacing.mayRespond()) {
            response.run();
        } else {
            deferredResponse = response;
        }
    }

    private void writeDeferredResponse() {
        Runnable response = deferredResponse;
        deferredResponse = null;
        pacing.respondedInTurn();
        if (channel.isActive()) {
            response.run();
        }
        pacing.requestTurn();
    }

    @Override
    public void takeTurn() {
        if (deferredResponse != null) {
            writeDeferredResponse();
        } else if (hasProcessable()) {
            processQueued();
        } else if (pacing.readInTurn()) {
            bodyReceiver.readRequested();
        }
    }

    /** Processes the input received after the request that has just ended; what is left waits for the next turn. */
    void processQueued() {
        pipelinedMessages.process();
        decoder.decodeBuffered();
        updateReading();
        if (hasProcessable()) {
            pacing.requestTurn();
        }
    }

    /** Goes on with what follows the request that has just ended, after the present call. */
    void processQueuedLater() {
        if (pacing.isEnabled() && hasProcessable()) {
            pacing.requestTurn();
        } else {
            // Not called directly, since each pipelined request would add a level of recursion.
            channel.eventLoop().execute(this::processQueued);
        }
    }

    /** Reads while there is buffer space, since a disconnect is noticed only while the connection is being read. */
    void updateReading() {
        boolean hasSpace = !decoder.hasOverflowed() && bodyReceiver.hasSpace();
        pacing.setReading(connection.state().discardsInput() ? lingeringClose.mayRead() : hasSpace);
    }

    /** Releases all input that has not been processed. */
    void discard() {
        bodyReceiver.stop();
        bodyReceiver.discard();
        pipelinedMessages.discard();
        decoder.discardBuffer();
    }
}

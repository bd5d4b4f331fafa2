package topazvalve.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.AttemptResult;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Outcome;
import topazvalve.policy.Request;
import topazvalve.policy.Settings;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.UpdateKind;

/**
 * Passes the events of a batch to the load balancer instances that they name. It decides nothing, and the
 * instances share nothing. Fields are read in the order in which the protocol has them.
 */
final class InstanceHost {
    private static final int MAX_ENDPOINT_LISTS = 16;
    /** The initial capacity of a list, whatever length the frame states. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private static final int FLAG_COST_HINT = 1;
    private static final int FLAG_CLIENT_RETRY = 1 << 1;
    private static final int FLAG_WRITE = 1 << 2;

    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final UpdateKind[] UPDATE_KINDS = UpdateKind.values();
    private static final EndpointStatus[] ENDPOINT_STATUSES = EndpointStatus.values();

    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final Map<Long, List<EndpointInfo>> endpointListsByNumber = new HashMap<>();
    private final ReplyFrame reply;
    private final LoadBalancerFactory factory;

    /** Creates a host without instances, whose actions go to {@code reply}. */
    InstanceHost(ReplyFrame reply, LoadBalancerFactory factory) {
        this.reply = reply;
        this.factory = factory;
    }

    /**
     * Handles the events of a frame in order.
     *
     * @throws ProtocolException if a record is malformed; the events before it have taken effect
     */
    void handle(FrameInput.Frame frame) {
        FrameReader in = frame.records();
        for (long i = 0; i < frame.recordCount(); i++) {
            int code = in.nextRecord();
            handleEvent(frame.nowNanos(), eventType(code, in), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new ProtocolException("bytes left over after the last of " + frame.recordCount() + " records");
        }
    }

    private static EventType eventType(int code, FrameReader in) {
        return EventType.of(code)
                .orElseThrow(
                        () -> new ProtocolException("unknown event code " + code + " at byte " + in.recordStart()));
    }

    private void handleEvent(long now, EventType type, FrameReader in) {
        switch (type) {
            case INSTANCE_STARTED -> startInstance(now, in);
            case ENDPOINTS_UPDATED -> endpointsUpdated(now, in);
            case REQUEST_RECEIVED -> requestReceived(now, in);
            case RESPONSE_STARTED -> responseStarted(now, in);
            case ATTEMPT_COMPLETED -> attemptCompleted(now, in);
            case CLIENT_DISCONNECTED -> instance(in).clientDisconnected(now, in.readUnsignedInt());
            case TIMER_FIRED -> instance(in).timerFired(now, in.readLong());
            case HEALTH_CHECK_COMPLETED -> healthCheckCompleted(now, in);
            case GOSSIP_RECEIVED -> gossipReceived(now, in);
            case INSTANCE_STOPPED -> instances.remove(in.readUnsignedShort());
            case ENDPOINT_LIST_DEFINED -> defineEndpointList(in);
            default -> throw new IllegalStateException("event without a handler: " + type);
        }
    }

    private LoadBalancer instance(FrameReader in) {
        int instanceId = in.readUnsignedShort();
        LoadBalancer instance = instances.get(instanceId);
        if (instance == null) {
            throw new ProtocolException("event for unknown instance " + instanceId + " at byte " + in.recordStart());
        }
        return instance;
    }

    private void startInstance(long now, FrameReader in) {
        int instanceId = in.readUnsignedShort();
        long seed = in.readLong();
        String settingsText = in.readText(in.readUnsignedInt());
        Settings settings = new SettingsReader(settingsText).settings();
        LoadBalancer instance = factory.make(settings, seed, reply.actionsOf(instanceId));
        instances.put(instanceId, instance);
        instance.start(now);
    }

    private void endpointsUpdated(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        UpdateKind kind = in.readEnum(UPDATE_KINDS, "form");
        // The list's version, which the policy doesn't need.
        in.readLong();
        long listNumber = in.readUnsignedInt();
        if (kind == UpdateKind.FAILED) {
            instance.endpointsUpdated(now, kind, List.of());
            return;
        }
        instance.endpointsUpdated(now, kind, endpointList(listNumber, in));
    }

    private List<EndpointInfo> endpointList(long number, FrameReader in) {
        List<EndpointInfo> endpoints = endpointListsByNumber.get(number);
        if (endpoints == null) {
            throw new ProtocolException("unknown list number " + number + " at byte " + in.recordStart());
        }
        return endpoints;
    }

    private void requestReceived(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int requestClass = in.readUnsignedByte();
        int tenant = in.readUnsignedShort();
        long resourceKey = in.readLong();
        long timeLeftNanos = in.readNanos("left");
        long costHintNanos = in.readNanos("costGuess");
        int flags = in.readUnsignedByte();
        instance.requestReceived(
                now,
                new Request(
                        requestId,
                        requestClass,
                        tenant,
                        resourceKey,
                        timeLeftNanos,
                        (flags & FLAG_COST_HINT) != 0 ? costHintNanos : 0,
                        (flags & FLAG_CLIENT_RETRY) != 0,
                        (flags & FLAG_WRITE) != 0));
    }

    private void responseStarted(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int attempt = in.readUnsignedByte();
        long endpointId = in.readEndpointId();
        long elapsedNanos = in.readNanos("timeTaken");
        instance.responseStarted(now, requestId, attempt, endpointId, elapsedNanos);
    }

    private void attemptCompleted(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int attempt = in.readUnsignedByte();
        long endpointId = in.readEndpointId();
        Outcome outcome = in.readEnum(OUTCOMES, "stateCode");
        long elapsedNanos = in.readNanos("timeTaken");
        boolean requestCompleted = in.readBoolean();
        float[] loadReport = in.readLoadReport();
        instance.attemptCompleted(
                now,
                new AttemptResult(requestId, attempt, endpointId, outcome, elapsedNanos, requestCompleted),
                loadReport);
    }

    private void healthCheckCompleted(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        long endpointId = in.readEndpointId();
        Outcome outcome = in.readEnum(OUTCOMES, "stateCode");
        long elapsedNanos = in.readNanos("timeTaken");
        float[] loadReport = in.readLoadReport();
        instance.healthCheckCompleted(now, endpointId, outcome, elapsedNanos, loadReport);
    }

    private void gossipReceived(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        int peer = in.readUnsignedShort();
        byte[] message = in.readBytes(in.readUnsignedShort());
        instance.gossipReceived(now, peer, message);
    }

    private void defineEndpointList(FrameReader in) {
        long number = in.readUnsignedInt();
        if (number >= MAX_ENDPOINT_LISTS) {
            throw new ProtocolException("list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.readUnsignedInt();
        List<EndpointInfo> endpoints = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        endpointListsByNumber.put(number, endpoints);
    }

    private static EndpointInfo readEndpoint(FrameReader in) {
        long id = in.readEndpointId();
        int zone = in.readUnsignedByte();
        int machineKind = in.readUnsignedShort();
        int cell = in.readUnsignedShort();
        EndpointStatus status = in.readEnum(ENDPOINT_STATUSES, "status");
        float weight = in.readFloat();
        long startedAtNanos = in.readNanos("lastStart");
        return new EndpointInfo(id, zone, machineKind, cell, status, weight, startedAtNanos);
    }
}

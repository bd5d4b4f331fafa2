package topazvalve.simulator;

import java.util.ArrayList;
import java.util.Arrays;
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
import topazvalve.simulator.ProtocolException.Fault;

/**
 * Dispatches the events of a frame to the load balancer instances that they name. It makes no decisions, and the
 * instances share no state. Fields are read in the order of the protocol.
 */
final class InstanceHost {
    private static final int MAX_ENDPOINT_LISTS = 16;
    /** Bounds the memory that is allocated for a list before its elements are read. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private static final int FLAG_COST_HINT = 1;
    private static final int FLAG_CLIENT_RETRY = 1 << 1;
    private static final int FLAG_WRITE = 1 << 2;

    /** The outcomes of the protocol, by their codes. */
    private static final Outcome[] OUTCOMES = Arrays.copyOf(Outcome.values(), Outcome.NEVER_SENT.ordinal() + 1);

    private static final UpdateKind[] UPDATE_KINDS = UpdateKind.values();
    private static final EndpointStatus[] ENDPOINT_STATUSES = EndpointStatus.values();

    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final Map<Long, List<EndpointInfo>> endpointListsByNumber = new HashMap<>();
    private final ReplyFrame reply;
    private final LoadBalancerFactory factory;

    /** Creates a host without instances; the actions of its instances are added to {@code reply}. */
    InstanceHost(ReplyFrame reply, LoadBalancerFactory factory) {
        this.reply = reply;
        this.factory = factory;
    }

    /**
     * Handles the events of a frame in order.
     *
     * @throws ProtocolException if a record is malformed; the events before it have been handled
     */
    void handle(FrameReader.Frame frame) {
        RecordReader in = frame.records();
        for (long i = 0; i < frame.recordCount(); i++) {
            int code = in.nextRecord();
            handleEvent(frame.nowNanos(), eventType(code, in), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new ProtocolException(
                    Fault.TRAILING_BYTES, "trailing bytes after the last of " + frame.recordCount() + " records");
        }
    }

    private static EventType eventType(int code, RecordReader in) {
        return EventType.fromCode(code)
                .orElseThrow(() -> new ProtocolException(
                        Fault.UNKNOWN_EVENT, "unknown event code " + code + " at byte " + in.recordOffset()));
    }

    private void handleEvent(long nowNanos, EventType type, RecordReader in) {
        switch (type) {
            case INSTANCE_STARTED -> startInstance(nowNanos, in);
            case ENDPOINTS_UPDATED -> handleEndpointsUpdated(nowNanos, in);
            case REQUEST_RECEIVED -> handleRequestReceived(nowNanos, in);
            case RESPONSE_STARTED -> handleResponseStarted(nowNanos, in);
            case ATTEMPT_COMPLETED -> handleAttemptCompleted(nowNanos, in);
            case CLIENT_DISCONNECTED -> instance(in).clientDisconnected(nowNanos, in.readUnsignedInt());
            case TIMER_FIRED -> instance(in).timerFired(nowNanos, in.readLong());
            case HEALTH_CHECK_COMPLETED -> handleHealthCheckCompleted(nowNanos, in);
            case GOSSIP_RECEIVED -> handleGossipReceived(nowNanos, in);
            case INSTANCE_STOPPED -> instances.remove(in.readUnsignedShort());
            case ENDPOINT_LIST_DEFINED -> defineEndpointList(in);
            default -> throw new IllegalStateException("no handler for event " + type);
        }
    }

    private LoadBalancer instance(RecordReader in) {
        int instanceId = in.readUnsignedShort();
        LoadBalancer instance = instances.get(instanceId);
        if (instance == null) {
            throw new ProtocolException(
                    Fault.UNKNOWN_INSTANCE,
                    "event for unknown instance " + instanceId + " at byte " + in.recordOffset());
        }
        return instance;
    }

    private void startInstance(long nowNanos, RecordReader in) {
        int instanceId = in.readUnsignedShort();
        long seed = in.readLong();
        String settingsText = in.readText(in.readUnsignedInt());
        Settings settings = new SettingsReader(settingsText).settings();
        LoadBalancer instance = factory.create(settings, seed, reply.actionsFor(instanceId));
        instances.put(instanceId, instance);
        instance.start(nowNanos);
    }

    private void handleEndpointsUpdated(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        UpdateKind kind = in.readEnum(UPDATE_KINDS, "form");
        // The list's version, which the policy doesn't need.
        in.readLong();
        long listNumber = in.readUnsignedInt();
        if (kind == UpdateKind.FAILED) {
            instance.endpointsUpdated(nowNanos, kind, List.of());
            return;
        }
        instance.endpointsUpdated(nowNanos, kind, endpointList(listNumber, in));
    }

    private List<EndpointInfo> endpointList(long number, RecordReader in) {
        List<EndpointInfo> endpoints = endpointListsByNumber.get(number);
        if (endpoints == null) {
            throw new ProtocolException(
                    Fault.UNKNOWN_ENDPOINT_LIST, "unknown endpoint list " + number + " at byte " + in.recordOffset());
        }
        return endpoints;
    }

    private void handleRequestReceived(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int requestClass = in.readUnsignedByte();
        int tenant = in.readUnsignedShort();
        long resourceKey = in.readLong();
        long timeLeftNanos = in.readNanos("left");
        long costHintNanos = in.readNanos("costGuess");
        int flags = in.readUnsignedByte();
        instance.requestReceived(
                nowNanos,
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

    private void handleResponseStarted(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int attempt = in.readUnsignedByte();
        long endpointId = in.readEndpointId();
        long elapsedNanos = in.readNanos("timeTaken");
        instance.responseStarted(nowNanos, requestId, attempt, endpointId, elapsedNanos);
    }

    private void handleAttemptCompleted(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        long requestId = in.readUnsignedInt();
        int attempt = in.readUnsignedByte();
        long endpointId = in.readEndpointId();
        Outcome outcome = in.readEnum(OUTCOMES, "stateCode");
        long elapsedNanos = in.readNanos("timeTaken");
        boolean requestCompleted = in.readBoolean();
        float[] loadReport = in.readLoadReport();
        instance.attemptCompleted(
                nowNanos,
                new AttemptResult(requestId, attempt, endpointId, outcome, elapsedNanos, requestCompleted),
                loadReport);
    }

    private void handleHealthCheckCompleted(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        long endpointId = in.readEndpointId();
        Outcome outcome = in.readEnum(OUTCOMES, "stateCode");
        long elapsedNanos = in.readNanos("timeTaken");
        float[] loadReport = in.readLoadReport();
        instance.healthCheckCompleted(nowNanos, endpointId, outcome, elapsedNanos, loadReport);
    }

    private void handleGossipReceived(long nowNanos, RecordReader in) {
        LoadBalancer instance = instance(in);
        int peer = in.readUnsignedShort();
        byte[] message = in.readBytes(in.readUnsignedShort());
        instance.gossipReceived(nowNanos, peer, message);
    }

    private void defineEndpointList(RecordReader in) {
        long number = in.readUnsignedInt();
        if (number >= MAX_ENDPOINT_LISTS) {
            throw new ProtocolException(
                    Fault.OUT_OF_RANGE,
                    "endpoint list number " + number + " out of range at byte " + in.recordOffset());
        }
        long count = in.readUnsignedInt();
        List<EndpointInfo> endpoints = new ArrayList<>((int) Math.min(count, MAX_INITIAL_CAPACITY));
        for (long i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        endpointListsByNumber.put(number, endpoints);
    }

    private static EndpointInfo readEndpoint(RecordReader in) {
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

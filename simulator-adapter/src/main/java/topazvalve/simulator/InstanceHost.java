package topazvalve.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.Request;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.SettingsReader;

/**
 * Hands the events of a batch to the instances they name. It decides nothing and shares nothing between
 * them.
 */
final class InstanceHost {
    private static final int MAX_LISTS = 16;
    private static final int FIRST_ENTRIES = 1024;
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final UpdateKind[] KINDS = UpdateKind.values();
    private static final EndpointStatus[] STATES = EndpointStatus.values();

    private final Map<Integer, LoadBalancer> instances = new HashMap<>();
    private final List<List<EndpointInfo>> lists = new ArrayList<>();
    private final ReplyFrame replies;
    private final LoadBalancerFactory decider;

    InstanceHost(ReplyFrame replies, LoadBalancerFactory decider) {
        this.replies = replies;
        this.decider = decider;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    void batch(long now, long records, FrameReader in) {
        for (long i = 0; i < records; i++) {
            event(now, in.nextRecord(), in);
            in.endRecord();
        }
        if (!in.atEnd()) {
            throw new ProtocolException("bytes left over after the last of " + records + " records");
        }
    }

    private void event(long now, int code, FrameReader in) {
        switch (code) {
            case 1 -> provision(now, in);
            case 2 -> membership(now, in);
            case 3 -> submit(now, in);
            case 4 -> instance(in).responseStarted(now, in.u32(), in.u8(), in.upstream(), in.time("timeTaken"));
            case 5 ->
                instance(in)
                        .attemptCompleted(
                                now,
                                in.u32(),
                                in.u8(),
                                in.upstream(),
                                in.choice(OUTCOMES, in.u8(), "stateCode"),
                                in.time("timeTaken"),
                                in.u8() != 0,
                                in.report());
            case 6 -> instance(in).clientDisconnected(now, in.u32());
            case 7 -> instance(in).timerFired(now, in.i64());
            case 8 ->
                instance(in)
                        .healthCheckCompleted(
                                now,
                                in.upstream(),
                                in.choice(OUTCOMES, in.u8(), "stateCode"),
                                in.time("timeTaken"),
                                in.report());
            case 9 -> instance(in).gossipReceived(now, in.u16(), in.bytes(in.u16()));
            case 10 -> instances.remove(in.u16());
            case 11 -> defineList(in);
            default -> throw new ProtocolException("unknown event code " + code + " at byte " + in.recordStart());
        }
    }

    private LoadBalancer instance(FrameReader in) {
        int sidecar = in.u16();
        LoadBalancer instance = instances.get(sidecar);
        if (instance == null) {
            throw new ProtocolException("event for unknown instance " + sidecar + " at byte " + in.recordStart());
        }
        return instance;
    }

    private void provision(long now, FrameReader in) {
        int sidecar = in.u16();
        long seed = in.i64();
        LoadBalancer instance =
                decider.make(new SettingsReader(in.text(in.u32())).settings(), seed, replies.sink(sidecar));
        instances.put(sidecar, instance);
        instance.start(now);
    }

    private void membership(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        UpdateKind kind = in.choice(KINDS, in.u8(), "form");
        in.i64();
        long number = in.u32();
        if (kind == UpdateKind.FAILED) {
            instance.endpointsUpdated(now, kind, List.of());
            return;
        }
        if (number >= MAX_LISTS || lists.get((int) number) == null) {
            throw new ProtocolException("unknown list number " + number + " at byte " + in.recordStart());
        }
        instance.endpointsUpdated(now, kind, lists.get((int) number));
    }

    private void submit(long now, FrameReader in) {
        LoadBalancer instance = instance(in);
        long id = in.u32();
        int requestClass = in.u8();
        int tenant = in.u16();
        long key = in.i64();
        long left = in.time("left");
        long hint = in.time("costGuess");
        int bits = in.u8();
        instance.requestReceived(
                now,
                new Request(
                        id,
                        requestClass,
                        tenant,
                        key,
                        left,
                        (bits & 1) != 0 ? hint : 0,
                        (bits & 2) != 0,
                        (bits & 4) != 0));
    }

    private void defineList(FrameReader in) {
        long number = in.u32();
        if (number >= MAX_LISTS) {
            throw new ProtocolException("list number " + number + " out of range at byte " + in.recordStart());
        }
        long count = in.u32();
        List<EndpointInfo> entries = new ArrayList<>((int) Math.min(count, FIRST_ENTRIES));
        for (long i = 0; i < count; i++) {
            entries.add(new EndpointInfo(
                    in.upstream(),
                    in.u8(),
                    in.u16(),
                    in.u16(),
                    in.choice(STATES, in.u8(), "status"),
                    in.f32(),
                    in.time("lastStart")));
        }
        lists.set((int) number, entries);
    }
}

package topazvalve.sidecar.engine;

import topazvalve.sidecar.classes.ClassTable;
import topazvalve.sidecar.http.Message;
import topazvalve.sidecar.stream.RequestBody;

/** A request as a frontend took it; the last byte of its body may still be to come. */
public record Job(ClassTable.Entry requestClass, int tenant, long key, long waitMs, long costHint,
        boolean clientRetry, boolean write, Message message, RequestBody body) { }

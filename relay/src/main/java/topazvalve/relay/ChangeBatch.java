package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import topazvalve.discovery.state.VersionVector;

/**
 * Changes that are sent together.
 *
 * @param from the versions that the changes follow on
 * @param to the versions that the changes lead to
 * @param encoded one chunk, owned by the batcher: who writes it retains a duplicate
 */
record ChangeBatch(VersionVector from, VersionVector to, ByteBuf encoded) {}

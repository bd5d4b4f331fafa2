package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import topazvalve.discovery.state.VersionVector;

/**
 * Changes that are sent together.
 *
 * @param from the versions before the changes
 * @param to the versions after the changes
 * @param encoded the changes as one HTTP chunk, which the batcher owns; write a retained duplicate
 */
record ChangeBatch(VersionVector from, VersionVector to, ByteBuf encoded) {}

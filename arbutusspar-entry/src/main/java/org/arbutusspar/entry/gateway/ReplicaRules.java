package org.arbutusspar.entry.gateway;

import java.util.Arrays;
import java.util.Optional;
import org.arbutusspar.core.peer.RowRules;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.platform.ReplicaReader;

/**
 * Rules of the table of replicas: a heartbeat repeats the entry of its replica, and an entry is
 * older than that of a later incarnation, and than one that says that the replica leaves.
 */
final class ReplicaRules implements RowRules {

  @Override
  public boolean sameContent(byte[] current, byte[] value) {
    return Arrays.equals(current, value)
        || ReplicaReader.read("", current).equals(ReplicaReader.read("", value));
  }

  @Override
  public boolean isRepeated() {
    return true;
  }

  @Override
  public boolean isOlder(byte[] current, byte[] value) {
    Optional<UpstreamReplica> known = ReplicaReader.read("", current);
    Optional<UpstreamReplica> copied = ReplicaReader.read("", value);
    if (known.isEmpty() || copied.isEmpty()) {
      return false;
    }
    long knownStart = known.get().startedMillis();
    long copiedStart = copied.get().startedMillis();
    return copiedStart < knownStart
        || copiedStart == knownStart && known.get().leaving() && !copied.get().leaving();
  }
}

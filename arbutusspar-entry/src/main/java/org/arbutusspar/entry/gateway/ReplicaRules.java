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
        || repeats(ReplicaReader.read("", current), ReplicaReader.read("", value));
  }

  /**
   * Returns whether an entry says nothing new. The time that a cold replica has left passes with
   * each heartbeat, so it is new only if the replica has become warm, or cold again.
   */
  private static boolean repeats(
      Optional<UpstreamReplica> current, Optional<UpstreamReplica> value) {
    if (current.isEmpty() || value.isEmpty()) {
      return current.equals(value);
    }
    long knownMillis = current.get().warmUpMillis();
    long millis = value.get().warmUpMillis();
    return current.get().equals(value.get().withWarmUp(knownMillis))
        && (millis == knownMillis || millis > 0 && millis < knownMillis);
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

package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.Arrays;
import org.arbutusspar.core.peer.RowRules;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Rules of the table of instances and of decisions on prompt parts: an announcement is older than
 * that of a later incarnation, and a decision than a later one.
 */
final class InstanceRules implements RowRules {

  @Override
  public boolean sameContent(byte[] current, byte[] value) {
    return Arrays.equals(current, value);
  }

  @Override
  public boolean isRepeated() {
    return false;
  }

  @Override
  public boolean isOlder(byte[] current, byte[] value) {
    long copied = sequence(value);
    return copied >= 0 && copied < sequence(current);
  }

  /** Returns a number that is larger for a later row of the same key, -1 if it is malformed. */
  private static long sequence(byte[] value) {
    try {
      PeerMessage message = PeerCodec.decode(value, 0);
      if (message instanceof PeerMessage.Hello hello) {
        return hello.self().incarnation();
      }
      return message instanceof PeerMessage.Block block ? block.decision().decidedMillis() : -1;
    } catch (IOException e) {
      return -1;
    }
  }
}

package org.arbutusspar.core.peer;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a topic. A later record of the same key replaces it.
 *
 * @param key the key
 * @param value the value, not to be modified; empty if the record removes the key
 * @param offset offset of the record in its topic
 */
public record TableRecord(String key, Optional<byte[]> value, long offset) {

  /** Checks the components. */
  public TableRecord {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
  }
}

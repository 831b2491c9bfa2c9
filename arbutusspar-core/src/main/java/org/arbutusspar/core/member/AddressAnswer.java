package org.arbutusspar.core.member;

import java.util.List;

/**
 * Answer to a caller that asks which instance to use.
 *
 * @param instances instances to use, best first
 * @param keepMillis how long the answer may be kept
 */
public record AddressAnswer(List<MemberRecord> instances, long keepMillis) {

  /** Copies the list. */
  public AddressAnswer {
    instances = List.copyOf(instances);
  }
}

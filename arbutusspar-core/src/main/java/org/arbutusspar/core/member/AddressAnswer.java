package org.arbutusspar.core.member;

import java.util.List;

/**
 * Response to a caller that asks for the addresses of entry instances.
 *
 * @param instances recommended instances, in order of preference
 * @param keepMillis how long the caller may cache the response, in milliseconds
 */
public record AddressAnswer(List<MemberRecord> instances, long keepMillis) {

  /** Copies the list. */
  public AddressAnswer {
    instances = List.copyOf(instances);
  }
}

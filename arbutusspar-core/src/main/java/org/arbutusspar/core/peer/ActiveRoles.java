package org.arbutusspar.core.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.Nanos;

/**
 * The roles that this instance holds, which it advertises in its heartbeats. A role is held from
 * its last use for {@link #ROLE_ACTIVE_NANOS}. Not thread-safe.
 */
public final class ActiveRoles {

  /** Time from the last use of a role until it is no longer held, in nanoseconds. */
  private static final long ROLE_ACTIVE_NANOS = Nanos.ofMillis(5_000);

  private final Map<String, Long> lastUsedNanos = new HashMap<>();

  private ActiveRoles() {}

  /** Returns an object without roles. */
  public static ActiveRoles create() {
    return new ActiveRoles();
  }

  /**
   * Records that this instance did work in a role.
   *
   * @param role name of the role, not null
   * @param now current monotonic time, in nanoseconds
   * @return monotonic time of the previous use, in nanoseconds, or empty if there was none
   */
  public OptionalLong markUsed(String role, long now) {
    Long previous = lastUsedNanos.put(role, now);
    return previous == null ? OptionalLong.empty() : OptionalLong.of(previous);
  }

  /**
   * Returns the names of the roles that are held.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the names, as a new set
   */
  public Set<String> roles(long now) {
    Set<String> roles = new HashSet<>();
    lastUsedNanos.forEach(
        (role, usedNanos) -> {
          if (now - usedNanos < ROLE_ACTIVE_NANOS) {
            roles.add(role);
          }
        });
    return roles;
  }
}

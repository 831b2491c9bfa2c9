package org.arbutusspar.core.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.Nanos;

/** The roles that an instance has had work in lately, to be named in its beats. */
public final class ActiveRoles {

  /** An instance has a role until it has had no work in it for this long. */
  private static final long ROLE_ACTIVE_NANOS = Nanos.ofMillis(5_000);

  private final Map<String, Long> lastUsedNanos = new HashMap<>();

  private ActiveRoles() {}

  /** Returns a record without roles. */
  public static ActiveRoles create() {
    return new ActiveRoles();
  }

  /**
   * Notes work in a role.
   *
   * @param role name of the role, not null
   * @param now current time
   * @return when there was work in it before, or empty if there was none
   */
  public OptionalLong markUsed(String role, long now) {
    Long previous = lastUsedNanos.put(role, now);
    return previous == null ? OptionalLong.empty() : OptionalLong.of(previous);
  }

  /** Returns the names of the roles that the instance has. */
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

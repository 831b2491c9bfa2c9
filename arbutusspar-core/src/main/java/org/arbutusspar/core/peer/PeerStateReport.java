package org.arbutusspar.core.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The states of the instances that a hub is connected to, of which it reports the changes. Not
 * thread-safe.
 */
public final class PeerStateReport {

  private final Map<String, PeerState> reported = new HashMap<>();

  private PeerStateReport() {}

  /** Returns a report without instances. */
  public static PeerStateReport create() {
    return new PeerStateReport();
  }

  /**
   * Replaces the states.
   *
   * @param states current states of all instances that are known to be live, not null
   * @return the states that differ from those of the call before; an instance that is missing now
   *     is returned as not live
   */
  public List<PeerState> update(List<PeerState> states) {
    List<PeerState> changed = new ArrayList<>();
    Map<String, PeerState> missing = new HashMap<>(reported);
    for (PeerState state : states) {
      missing.remove(state.name());
      if (!state.equals(reported.put(state.name(), state))) {
        changed.add(state);
      }
    }
    for (String name : missing.keySet()) {
      reported.remove(name);
      changed.add(new PeerState(name, false, false, false));
    }
    return changed;
  }

  /** Returns the states as of the last update. */
  public List<PeerState> all() {
    return List.copyOf(reported.values());
  }
}

package org.arbutusspar.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.lang3.Validate;

/**
 * State of the configuration after a record of the log. Immutable.
 *
 * @param revision offset of the last record that the state includes; 0 if there is none
 * @param objects all configuration objects, in key order
 * @param recent results of the latest changes, oldest first, at most {@link #MAX_RECENT}
 */
public record ConfigState(long revision, List<VersionedObject> objects, List<ChangeResult> recent) {

  /**
   * Maximum number of retained results. They serve to detect a change that was appended to the log
   * more than once.
   */
  public static final int MAX_RECENT = 1_024;

  /** The empty configuration before the first record. */
  public static final ConfigState EMPTY = new ConfigState(0, List.of(), List.of());

  /** Checks the components and copies the lists. */
  public ConfigState {
    Validate.isTrue(revision >= 0, "revision must not be negative");
    objects = List.copyOf(objects);
    recent = List.copyOf(recent);
    Validate.isTrue(recent.size() <= MAX_RECENT, "too many results of changes");
  }

  /** Returns the objects by their keys, as a new map in key order. */
  public Map<ObjectKey, VersionedObject> byKey() {
    Map<ObjectKey, VersionedObject> map = new TreeMap<>();
    for (VersionedObject each : objects) {
      map.put(each.object().key(), each);
    }
    return map;
  }

  /**
   * Returns the result of a recent change.
   *
   * @param id identifier of the change, not null
   * @return the result, or empty if it is not among the retained ones
   */
  public Optional<ChangeResult> resultOf(ChangeId id) {
    return recent.stream().filter(r -> r.id().equals(id)).findFirst();
  }

  /**
   * Returns the state after a record that does not change the objects.
   *
   * @param offset log offset of the record, greater than the current revision
   * @return a state with the same objects and results, and with the offset as its revision
   */
  ConfigState withRevision(long offset) {
    return new ConfigState(offset, objects, recent);
  }

  /**
   * Returns the state after a change. A change is rejected, and leaves the objects unchanged, if an
   * object no longer has the revision on which the edit is based, or if a pipeline would refer to a
   * service that is missing or of another kind.
   *
   * @param offset log offset of the record that contains the change
   * @param change the change
   * @return the new state, in which the last result is that of the change
   */
  ConfigState after(long offset, LogRecord.Change change) {
    Map<ObjectKey, VersionedObject> map = byKey();
    String reason = findConflict(map, change);
    Map<ObjectKey, VersionedObject> edited =
        reason.isEmpty() ? applyEdits(map, offset, change) : map;
    if (reason.isEmpty()) {
      reason = References.firstDangling(edited.values());
    }
    boolean accepted = reason.isEmpty();
    List<VersionedObject> newObjects = accepted ? List.copyOf(edited.values()) : objects;
    return new ConfigState(
        offset, newObjects, recentWith(new ChangeResult(change.id(), offset, accepted, reason)));
  }

  private static String findConflict(Map<ObjectKey, VersionedObject> map, LogRecord.Change change) {
    for (ObjectEdit edit : change.edits()) {
      VersionedObject current = map.get(edit.key());
      long revision = current == null ? 0 : current.revision();
      if (revision != edit.base()) {
        return edit.key()
            + " is at revision "
            + revision
            + ", the change is based on "
            + edit.base();
      }
    }
    return "";
  }

  private static Map<ObjectKey, VersionedObject> applyEdits(
      Map<ObjectKey, VersionedObject> map, long offset, LogRecord.Change change) {
    Map<ObjectKey, VersionedObject> edited = new TreeMap<>(map);
    for (ObjectEdit edit : change.edits()) {
      edited.remove(edit.key());
      edit.object().ifPresent(o -> edited.put(edit.key(), new VersionedObject(offset, o)));
    }
    return edited;
  }

  private List<ChangeResult> recentWith(ChangeResult result) {
    List<ChangeResult> results = new ArrayList<>(recent);
    results.add(result);
    int excess = Math.max(0, results.size() - MAX_RECENT);
    return results.subList(excess, results.size());
  }

  /** Returns the objective in use, {@link Objective#BALANCED} if none is configured. */
  public Objective objective() {
    return all(Objective.class).stream()
        .filter(o -> o.name().equals(Objective.DEFAULT_NAME))
        .findFirst()
        .orElse(Objective.BALANCED);
  }

  /**
   * Returns all objects of a type, in name order.
   *
   * @param <T> the type
   * @param type class of the objects, not null
   * @return the objects
   */
  public <T extends ConfigObject> List<T> all(Class<T> type) {
    return objects.stream()
        .map(VersionedObject::object)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }
}

package org.arbutusspar.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.lang3.Validate;

/**
 * The configuration after one record of the log. Immutable.
 *
 * @param revision offset of the last record that it includes; 0 if none
 * @param objects every object, in key order
 * @param recent results of the newest changes, oldest first, at most {@link #MAX_RECENT}
 */
public record ConfigState(long revision, List<VersionedObject> objects, List<ChangeResult> recent) {

  /** Results of changes that are kept to recognise a change that was appended twice. */
  public static final int MAX_RECENT = 1_024;

  /** The configuration before the first record. */
  public static final ConfigState EMPTY = new ConfigState(0, List.of(), List.of());

  /** Checks the components and copies the lists. */
  public ConfigState {
    Validate.isTrue(revision >= 0, "revision must not be negative");
    objects = List.copyOf(objects);
    recent = List.copyOf(recent);
    Validate.isTrue(recent.size() <= MAX_RECENT, "too many results of changes");
  }

  /** Returns the objects by key, as a new map in key order. */
  public Map<ObjectKey, VersionedObject> byKey() {
    Map<ObjectKey, VersionedObject> map = new TreeMap<>();
    for (VersionedObject each : objects) {
      map.put(each.object().key(), each);
    }
    return map;
  }

  /**
   * Returns what became of a change, if it is among the newest.
   *
   * @param id the change, not null
   * @return its result, or empty
   */
  public Optional<ChangeResult> resultOf(ChangeId id) {
    return recent.stream().filter(r -> r.id().equals(id)).findFirst();
  }

  /**
   * Returns the state one record later.
   *
   * @param offset offset of the record, greater than the revision
   * @return the same objects at the new revision
   */
  ConfigState withRevision(long offset) {
    return new ConfigState(offset, objects, recent);
  }

  /**
   * Returns the state after a change. A rejected change leaves the objects as they are.
   *
   * @param offset offset of the change's record
   * @param change the change
   * @return the new state, whose last result is the change's
   */
  ConfigState after(long offset, LogRecord.Change change) {
    Map<ObjectKey, VersionedObject> map = byKey();
    String reason = conflict(map, change);
    Map<ObjectKey, VersionedObject> edited = reason.isEmpty() ? edit(map, offset, change) : map;
    if (reason.isEmpty()) {
      reason = References.firstDangling(edited.values());
    }
    boolean accepted = reason.isEmpty();
    List<VersionedObject> next = accepted ? List.copyOf(edited.values()) : objects;
    return new ConfigState(
        offset, next, append(new ChangeResult(change.id(), offset, accepted, reason)));
  }

  private static String conflict(Map<ObjectKey, VersionedObject> map, LogRecord.Change change) {
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

  private static Map<ObjectKey, VersionedObject> edit(
      Map<ObjectKey, VersionedObject> map, long offset, LogRecord.Change change) {
    Map<ObjectKey, VersionedObject> edited = new TreeMap<>(map);
    for (ObjectEdit edit : change.edits()) {
      edited.remove(edit.key());
      edit.object().ifPresent(o -> edited.put(edit.key(), new VersionedObject(offset, o)));
    }
    return edited;
  }

  private List<ChangeResult> append(ChangeResult result) {
    List<ChangeResult> results = new ArrayList<>(recent);
    results.add(result);
    int excess = Math.max(0, results.size() - MAX_RECENT);
    return results.subList(excess, results.size());
  }

  /** Returns the objective in use. */
  public Objective objective() {
    return all(Objective.class).stream()
        .filter(o -> o.name().equals(Objective.DEFAULT_NAME))
        .findFirst()
        .orElse(Objective.BALANCED);
  }

  /**
   * Returns all objects of one type, in name order.
   *
   * @param <T> the type
   * @param type the type, not null
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

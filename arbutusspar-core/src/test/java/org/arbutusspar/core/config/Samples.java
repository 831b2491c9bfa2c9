package org.arbutusspar.core.config;

import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.id.ObjectName;

/** Sample configuration objects and changes for tests. */
public final class Samples {

  /** Cost prior of 10 ms for each call, at a price of 1 per second. */
  public static final CostPrior TEN_MILLIS = new CostPrior(10, 0, 1);

  private Samples() {}

  /** Returns a service with four concurrent calls per replica. */
  public static Service service(String name, StageKind kind) {
    return new Service(
        ObjectName.of(name),
        kind,
        kind == StageKind.PLAIN ? "" : "m",
        kind == StageKind.PLAIN ? "/p" : "",
        4,
        TEN_MILLIS,
        false,
        true,
        kind == StageKind.RETRIEVE ? 100 : 0);
  }

  /** Returns a pipeline of an encode, a retrieve and a generate stage, with a deadline of 1 s. */
  public static Pipeline pipeline(String name) {
    return new Pipeline(
        ObjectName.of(name),
        1_000,
        List.of(
            new Stage(StageKind.ENCODE, ObjectName.of("enc"), 0),
            new Stage(StageKind.RETRIEVE, ObjectName.of("ret"), 3),
            new Stage(StageKind.GENERATE, ObjectName.of("gen"), 0)));
  }

  /** Returns a workspace with the given share. */
  public static Workspace workspace(String name, int share) {
    return new Workspace(ObjectName.of(name), "0".repeat(64), share);
  }

  /**
   * Returns a state at revision 1 with a pipeline, the services of its three stages, a plain
   * service and two workspaces.
   */
  public static ConfigState state() {
    List<ConfigObject> objects =
        List.of(
            service("enc", StageKind.ENCODE),
            service("ret", StageKind.RETRIEVE),
            service("gen", StageKind.GENERATE),
            service("plain", StageKind.PLAIN),
            pipeline("chat"),
            workspace("big", 4),
            workspace("small", 1));
    return new ConfigState(
        1, objects.stream().map(o -> new VersionedObject(1, o)).toList(), List.of());
  }

  /** Returns a change that creates or replaces one object. */
  public static LogRecord.Change put(String id, long base, ConfigObject object) {
    return new LogRecord.Change(
        new ChangeId("change-" + id),
        "test",
        List.of(new ObjectEdit(object.key(), base, Optional.of(object))));
  }

  /** Returns a change that deletes one object. */
  public static LogRecord.Change delete(String id, long base, ObjectKey key) {
    return new LogRecord.Change(
        new ChangeId("change-" + id), "test", List.of(new ObjectEdit(key, base, Optional.empty())));
  }
}

package org.arbutusspar.io.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.config.Objective;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.ObjectName;

/** Converts the merged files of a folder into configuration objects, and collects all problems. */
final class FolderChecker {

  private static final Set<String> TOP_LEVEL_KEYS =
      Set.of("objective", "workspaces", "services", "pipelines");
  private static final Set<String> SERVICE_KEYS =
      Set.of(
          "kind",
          "model",
          "path",
          "concurrency",
          "cost",
          "idempotencyKeys",
          "identityEcho",
          "catalogueSize");
  private static final long MAX_CATALOGUE_SIZE = 1_000_000_000L;

  /** Maximum of the base time and of the time per unit in a cost prior. */
  private static final double MAX_MILLIS = 600_000;

  private static final double MAX_PRICE_PER_SECOND = 1_000_000;

  private final List<ConfigProblem> problems;
  private final List<ConfigObject> objects = new ArrayList<>();
  private final Map<ObjectName, StageKind> serviceKinds = new HashMap<>();

  /** Names of the workspaces by the hash of their key. */
  private final Map<String, String> keyOwners = new HashMap<>();

  private FolderChecker(List<ConfigProblem> problems) {
    this.problems = problems;
  }

  static FolderChecker create(List<ConfigProblem> problems) {
    return new FolderChecker(problems);
  }

  List<ConfigObject> objects() {
    return objects;
  }

  void check(YamlValue.Mapping root) {
    Fields top = Fields.of(root, "", problems).reportUnknownKeys(TOP_LEVEL_KEYS);
    if (top.value("objective").isPresent()) {
      objective(top.nested("objective"));
    }
    checkEach(top, "workspaces", this::workspace);
    checkEach(top, "services", this::service);
    checkEach(top, "pipelines", this::pipeline);
  }

  /** Checks each named object of a section. */
  private void checkEach(Fields top, String section, ObjectCheck check) {
    if (top.value(section).isEmpty()) {
      return;
    }
    Fields all = top.nested(section);
    for (Map.Entry<String, YamlValue.Entry> entry : all.entries().entrySet()) {
      Fields fields = Fields.of(entry.getValue().value(), all.childPath(entry.getKey()), problems);
      Optional<ObjectName> name = build(fields, f -> ObjectName.of(entry.getKey()));
      if (fields.isPresent()) {
        name.ifPresent(n -> check.check(n, fields));
      }
    }
  }

  private void objective(Fields fields) {
    fields.reportUnknownKeys(Set.of("attainment", "cost"));
    double attainment = fields.decimal("attainment", 0, 1);
    double cost = fields.decimal("cost", 0, 1);
    add(fields, f -> new Objective(Objective.DEFAULT_NAME, attainment, cost));
  }

  private void workspace(ObjectName name, Fields fields) {
    fields.reportUnknownKeys(Set.of("keySha256", "share"));
    String hash = fields.text("keySha256");
    int share = (int) fields.integer("share", 1, Workspace.MAX_SHARE, 1);
    String owner = keyOwners.putIfAbsent(hash, name.value());
    if (owner != null && !hash.isEmpty()) {
      fields.report("has the same key as workspace " + owner);
    }
    if (fields.value("keySha256").isPresent()) {
      add(fields, f -> new Workspace(name, hash, share));
    }
  }

  private void service(ObjectName name, Fields fields) {
    fields.reportUnknownKeys(SERVICE_KEYS);
    StageKind kind = fields.enumValue("kind", StageKind.class, null);
    if (kind == null) {
      return;
    }
    serviceKinds.put(name, kind);
    boolean plain = kind == StageKind.PLAIN;
    String model = plain ? fields.text("model", "") : fields.text("model");
    String path = plain ? fields.text("path") : fields.text("path", "");
    int concurrency = (int) fields.integer("concurrency", 1, Service.MAX_CONCURRENCY);
    CostPrior cost = cost(fields.nested("cost"));
    boolean keys = fields.bool("idempotencyKeys", false);
    boolean echo = fields.bool("identityEcho", false);
    long catalogue =
        kind == StageKind.RETRIEVE
            ? fields.integer("catalogueSize", 1, MAX_CATALOGUE_SIZE)
            : fields.integer("catalogueSize", 0, MAX_CATALOGUE_SIZE, 0);
    if (plain && fields.value("path").isEmpty()) {
      return;
    }
    add(
        fields,
        f -> new Service(name, kind, model, path, concurrency, cost, keys, echo, catalogue));
  }

  private CostPrior cost(Fields fields) {
    fields.reportUnknownKeys(Set.of("baseMs", "perUnitMs", "pricePerSecond"));
    return new CostPrior(
        fields.decimal("baseMs", 0, MAX_MILLIS),
        fields.decimal("perUnitMs", 0, MAX_MILLIS),
        fields.decimal("pricePerSecond", 0, MAX_PRICE_PER_SECOND));
  }

  private void pipeline(ObjectName name, Fields fields) {
    fields.reportUnknownKeys(Set.of("deadlineMs", "stages"));
    long deadline =
        fields.integer("deadlineMs", Pipeline.MIN_DEADLINE_MILLIS, Pipeline.MAX_DEADLINE_MILLIS);
    List<Stage> stages = new ArrayList<>();
    List<YamlValue> items = fields.items("stages");
    for (int i = 0; i < items.size(); i++) {
      String path = fields.childPath("stages") + "[" + i + "]";
      stage(Fields.of(items.get(i), path, problems)).ifPresent(stages::add);
    }
    boolean complete = stages.size() == items.size();
    if (complete && fields.value("stages").isPresent()) {
      add(fields, f -> new Pipeline(name, deadline, stages));
      checkOrder(fields, stages);
    }
  }

  private Optional<Stage> stage(Fields fields) {
    fields.reportUnknownKeys(Set.of("kind", "service", "limit"));
    StageKind kind = fields.enumValue("kind", StageKind.class, null);
    String service = fields.text("service");
    int limit = (int) fields.integer("limit", 0, Stage.MAX_LIMIT, 0);
    if (service.isEmpty() || kind == null) {
      return Optional.empty();
    }
    Optional<ObjectName> name = build(fields, f -> ObjectName.of(service));
    name.ifPresent(n -> checkService(fields, n, kind));
    return name.flatMap(n -> build(fields, f -> new Stage(kind, n, limit)));
  }

  private void checkService(Fields fields, ObjectName service, StageKind kind) {
    StageKind actual = serviceKinds.get(service);
    if (actual == null) {
      fields.report("refers to missing service '" + service + "'");
    } else if (actual != kind) {
      fields.report("service '" + service + "' is of another kind than the stage");
    }
  }

  /** Reports stages that do not come after the stages whose results they need. */
  private static void checkOrder(Fields fields, List<Stage> stages) {
    boolean last = !stages.isEmpty() && stages.get(stages.size() - 1).kind() == StageKind.GENERATE;
    if (!last) {
      fields.report("the last stage must be of kind generate");
    }
    boolean encoded = false;
    boolean retrieved = false;
    for (Stage stage : stages) {
      if (stage.kind() == StageKind.RETRIEVE && !encoded) {
        fields.report("a retrieve stage needs an encode stage before it");
      }
      if (stage.kind() == StageKind.RERANK && !retrieved) {
        fields.report("a rerank stage needs a retrieve stage before it");
      }
      encoded |= stage.kind() == StageKind.ENCODE;
      retrieved |= stage.kind() == StageKind.RETRIEVE;
    }
  }

  private void add(Fields fields, Function<Fields, ConfigObject> factory) {
    build(fields, factory).ifPresent(objects::add);
  }

  /** Returns the result of a factory, or reports the message of its IllegalArgumentException. */
  private static <T> Optional<T> build(Fields fields, Function<Fields, T> factory) {
    try {
      return Optional.of(factory.apply(fields));
    } catch (IllegalArgumentException e) {
      fields.report(e.getMessage());
      return Optional.empty();
    }
  }

  /** Checks one named object, and adds it to the result if it is valid. */
  private interface ObjectCheck {
    void check(ObjectName name, Fields fields);
  }
}

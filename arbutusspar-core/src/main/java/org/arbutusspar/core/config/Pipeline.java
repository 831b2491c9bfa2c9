package org.arbutusspar.core.config;

import java.util.List;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;

/**
 * Sequence of stages with a common end-to-end deadline.
 *
 * @param name name of the pipeline
 * @param deadlineMillis end-to-end deadline of requests that state none, in milliseconds after
 *     their arrival
 * @param stages {@value #MIN_STAGES} to {@value #MAX_STAGES} stages, in order
 */
public record Pipeline(ObjectName name, long deadlineMillis, List<Stage> stages)
    implements ConfigObject {

  /** Minimum number of stages. */
  public static final int MIN_STAGES = 3;

  /** Maximum number of stages. */
  public static final int MAX_STAGES = 6;

  /** Minimum deadline, in milliseconds. */
  public static final long MIN_DEADLINE_MILLIS = 50;

  /** Maximum deadline, in milliseconds. */
  public static final long MAX_DEADLINE_MILLIS = 120_000;

  /** Checks the components and copies the list. */
  public Pipeline {
    stages = List.copyOf(stages);
    Validate.inclusiveBetween(
        MIN_STAGES, MAX_STAGES, stages.size(), "a pipeline has 3 to 6 stages");
    Validate.inclusiveBetween(
        MIN_DEADLINE_MILLIS,
        MAX_DEADLINE_MILLIS,
        deadlineMillis,
        "deadline must be from 50 to 120000 ms");
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.PIPELINE, name);
  }
}

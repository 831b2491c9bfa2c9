package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;

/**
 * Weights of the two goals of the deployment: attainment of deadlines and cost of stages.
 *
 * @param name name of the objective; only that named {@code default} is in use
 * @param attainment weight of attainment, 0 to 1
 * @param cost weight of cost, 0 to 1
 */
public record Objective(ObjectName name, double attainment, double cost) implements ConfigObject {

  /** Name of the objective in use. */
  public static final ObjectName DEFAULT_NAME = ObjectName.of("default");

  /** Objective of a deployment that configures none. */
  public static final Objective BALANCED = new Objective(DEFAULT_NAME, 0.5, 0.5);

  /** Checks the components. */
  public Objective {
    Validate.inclusiveBetween(0.0, 1.0, attainment, "attainment must be from 0 to 1");
    Validate.inclusiveBetween(0.0, 1.0, cost, "cost must be from 0 to 1");
  }

  /** Returns whether cost has a larger weight than attainment. */
  public boolean isCostFirst() {
    return cost > attainment;
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.OBJECTIVE, name);
  }
}

package org.arbutusspar.core.config;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;

/**
 * Service that a pool of equivalent replicas provides. The platform's list names the replicas.
 *
 * @param name name of the service
 * @param kind kind of work that the replicas do
 * @param model name of the model that is sent to the replicas; empty for plain services
 * @param path HTTP path of a plain service; empty for other kinds
 * @param concurrency number of calls that one replica runs concurrently
 * @param cost prior of the cost model of the service
 * @param idempotencyKeys whether the replicas run calls with the same idempotency key at most once
 * @param identityEcho whether the replicas return the request identifier that they received
 * @param catalogueSize number of documents that a retrieve service searches; 0 for other kinds
 */
public record Service(
    ObjectName name,
    StageKind kind,
    String model,
    String path,
    int concurrency,
    CostPrior cost,
    boolean idempotencyKeys,
    boolean identityEcho,
    long catalogueSize)
    implements ConfigObject {

  /** Maximum value of {@code concurrency}. */
  public static final int MAX_CONCURRENCY = 4_096;

  /** Checks the components. */
  public Service {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(cost, "cost");
    Validate.inclusiveBetween(
        1, MAX_CONCURRENCY, concurrency, "concurrency must be from 1 to 4096");
    Validate.isTrue(catalogueSize >= 0, "catalogue size must not be negative");
    Validate.isTrue(
        kind != StageKind.PLAIN || path.startsWith("/"), "a plain service needs a path");
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.SERVICE, name);
  }
}

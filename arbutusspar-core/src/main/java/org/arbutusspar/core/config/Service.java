package org.arbutusspar.core.config;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;

/**
 * A pool of replicas that do the same work. The platform's list names its replicas.
 *
 * @param name the name
 * @param kind what its replicas do
 * @param model model name sent to engines and pools; empty for plain services
 * @param path HTTP path of a plain service; empty for other kinds
 * @param concurrency calls that one replica takes at once
 * @param cost prior of the cost model
 * @param idempotencyKeys whether replicas run a call at most once for each idempotency key
 * @param identityEcho whether replicas return the request identity that they were sent
 * @param catalogueSize documents that a retrieve service searches; 0 for other kinds
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

  /** Most calls that one replica may take at once. */
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

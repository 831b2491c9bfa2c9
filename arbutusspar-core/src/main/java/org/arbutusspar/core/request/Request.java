package org.arbutusspar.core.request;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.RequestKey;

/**
 * Request that was accepted from a caller. Immutable.
 *
 * @param key unique key of the request
 * @param target pipeline or service that runs the request
 * @param data question or body of the request
 * @param repeatable whether the request may run more than once without harm
 * @param keepAnswer whether the outcome is stored, so that the caller may query it by identifier
 * @param deadlineNanos deadline for the answer, in nanoseconds of this instance's monotonic clock
 * @param fingerprint hash of target and body, which distinguishes a client retry from another
 *     request with the same identifier
 */
public record Request(
    RequestKey key,
    Target target,
    RequestData data,
    boolean repeatable,
    boolean keepAnswer,
    long deadlineNanos,
    long fingerprint) {

  /** Checks the components. */
  public Request {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(data, "data");
    Validate.isTrue(
        repeatable || target.kind() == TargetKind.SERVICE, "a pipeline is always repeatable");
  }

  /** Kind of the target of a request. */
  public enum TargetKind {
    /** A pipeline of the configuration. */
    PIPELINE,
    /** A plain service of the configuration. */
    SERVICE
  }

  /**
   * Target of a request.
   *
   * @param kind kind of the target
   * @param name name of the pipeline or service
   */
  public record Target(TargetKind kind, ObjectName name) {

    /** Checks the components. */
    public Target {
      Objects.requireNonNull(kind, "kind");
      Objects.requireNonNull(name, "name");
    }
  }
}

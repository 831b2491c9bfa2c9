package org.arbutusspar.core.request;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.RequestKey;

/**
 * A request as it was accepted from a caller.
 *
 * @param key identity of the request
 * @param target what should run it
 * @param data the question or body
 * @param repeatable whether running it twice does no harm
 * @param keepAnswer whether the caller may ask again by identifier
 * @param deadlineNanos when the answer is due, on the instance's monotonic clock
 * @param fingerprint hash of target and body, which tells a retry from another request
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

  /** What a request is sent to. */
  public enum TargetKind {
    /** A pipeline of the configuration. */
    PIPELINE,
    /** A plain service of the configuration. */
    SERVICE
  }

  /**
   * Target of a request.
   *
   * @param kind pipeline or service
   * @param name its name
   */
  public record Target(TargetKind kind, ObjectName name) {

    /** Checks the components. */
    public Target {
      Objects.requireNonNull(kind, "kind");
      Objects.requireNonNull(name, "name");
    }
  }
}

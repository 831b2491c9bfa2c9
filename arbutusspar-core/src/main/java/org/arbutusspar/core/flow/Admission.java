package org.arbutusspar.core.flow;

/** Admission control: decides whether a new request is admitted. */
public interface Admission {

  /**
   * Decides whether to admit one request.
   *
   * @param forecast predicted durations of the request, not null
   * @return {@link #ADMIT}, or the milliseconds after which the rejected caller should retry
   */
  long decide(PathForecast forecast);

  /** Result of {@link #decide} for a request that is admitted. */
  long ADMIT = -1;
}

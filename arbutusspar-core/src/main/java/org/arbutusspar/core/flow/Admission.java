package org.arbutusspar.core.flow;

/** Decides whether a request may start. */
public interface Admission {

  /**
   * Decides about one request.
   *
   * @param forecast what is predicted for it, not null
   * @return milliseconds after which to come back, or {@link #ADMIT}
   */
  long decide(PathForecast forecast);

  /** Result of {@link #decide} for a request that may start. */
  long ADMIT = -1;
}

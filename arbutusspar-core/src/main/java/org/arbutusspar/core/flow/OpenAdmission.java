package org.arbutusspar.core.flow;

/** Admits every request. Baseline against which {@link PredictiveAdmission} is measured. */
public final class OpenAdmission implements Admission {

  private OpenAdmission() {}

  /** Returns the policy. */
  public static OpenAdmission create() {
    return new OpenAdmission();
  }

  @Override
  public long decide(PathForecast forecast) {
    return ADMIT;
  }
}

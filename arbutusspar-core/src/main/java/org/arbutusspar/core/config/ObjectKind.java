package org.arbutusspar.core.config;

import java.util.Locale;

/** Kinds of configuration objects. */
public enum ObjectKind {
  /** Sequence of stages: {@link Pipeline}. */
  PIPELINE,
  /** Pool of replicas: {@link Service}. */
  SERVICE,
  /** Workspace with its key and share: {@link Workspace}. */
  WORKSPACE,
  /** Weights of attainment and cost: {@link Objective}. */
  OBJECTIVE;

  /** Returns the name in lower case, for display. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

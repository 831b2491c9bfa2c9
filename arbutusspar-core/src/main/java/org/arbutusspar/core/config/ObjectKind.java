package org.arbutusspar.core.config;

import java.util.Locale;

/** Kinds of configuration objects. */
public enum ObjectKind {
  /** A chain of stages. */
  PIPELINE,
  /** A pool of replicas. */
  SERVICE,
  /** A workspace and its key. */
  WORKSPACE,
  /** What the deployment weighs more. */
  OBJECTIVE;

  /** Returns the kind in lower case, as printed. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

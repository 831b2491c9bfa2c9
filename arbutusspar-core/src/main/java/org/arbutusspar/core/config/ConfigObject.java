package org.arbutusspar.core.config;

/** One independently revised object of the configuration. */
public sealed interface ConfigObject permits Pipeline, Service, Workspace, Objective {

  /** Returns the key that identifies the object. */
  ObjectKey key();
}

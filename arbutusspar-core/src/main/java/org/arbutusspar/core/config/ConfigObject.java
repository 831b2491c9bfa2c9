package org.arbutusspar.core.config;

/**
 * Object of the configuration, which has its own revision and is replaced or deleted as a whole.
 */
public sealed interface ConfigObject permits Pipeline, Service, Workspace, Objective {

  /** Returns the unique key of the object. */
  ObjectKey key();
}

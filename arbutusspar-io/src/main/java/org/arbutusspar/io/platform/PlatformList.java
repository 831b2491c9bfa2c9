package org.arbutusspar.io.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of live and leaving instances and replicas. */
public interface PlatformList {

  /**
   * Reads the list.
   *
   * @return what the list says
   */
  CompletableFuture<Listing> read();
}

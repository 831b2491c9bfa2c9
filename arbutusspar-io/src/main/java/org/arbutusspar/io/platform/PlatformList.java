package org.arbutusspar.io.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving instances and replicas. It is eventually consistent:
 * changes appear with a delay.
 */
public interface PlatformList {

  /**
   * Reads the list.
   *
   * @return the content of the list; completes exceptionally if it cannot be read
   */
  CompletableFuture<Listing> read();
}

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
   * @return the current content of the list
   */
  CompletableFuture<Listing> read();
}

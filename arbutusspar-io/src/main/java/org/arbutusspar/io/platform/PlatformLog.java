package org.arbutusspar.io.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's append-only log. */
public interface PlatformLog {

  /**
   * Appends a record.
   *
   * @param data the record, not null
   * @return its offset; a failure does not say that the record was not appended
   */
  CompletableFuture<Long> append(String data);

  /**
   * Reads records.
   *
   * @param from offset of the first record wanted, from 1
   * @param waitMillis how long to wait for a record if there is none yet
   * @return the records found
   */
  CompletableFuture<LogPage> read(long from, long waitMillis);
}

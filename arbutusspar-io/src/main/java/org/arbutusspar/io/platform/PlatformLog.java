package org.arbutusspar.io.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's append-only log. */
public interface PlatformLog {

  /**
   * Appends a record.
   *
   * @param data text of the record, not null
   * @return the offset of the record; if the future fails, the record may have been appended or not
   */
  CompletableFuture<Long> append(String data);

  /**
   * Reads records from an offset on.
   *
   * @param from offset of the first record to read, from 1
   * @param waitMillis maximum time that the log waits for a record if there is none yet, in
   *     milliseconds
   * @return the records found; possibly none, and not necessarily all
   */
  CompletableFuture<LogPage> read(long from, long waitMillis);
}

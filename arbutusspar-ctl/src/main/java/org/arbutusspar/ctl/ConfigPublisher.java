package org.arbutusspar.ctl;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.config.ChangeId;
import org.arbutusspar.core.config.ChangeResult;
import org.arbutusspar.core.config.ConfigFold;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.LogRecord;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.config.ObjectKey;
import org.arbutusspar.core.config.VersionedObject;
import org.arbutusspar.io.codec.LogRecordCodec;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.platform.HttpPlatformLog;
import org.arbutusspar.io.platform.LogPage;
import org.arbutusspar.io.platform.PlatformLog;

/** Reads the configuration from the platform's log and publishes changes to it. */
final class ConfigPublisher {

  private static final int MAX_APPEND_ATTEMPTS = 5;

  /** Time that one read waits for new records, and the delay after a failed read. */
  private static final long READ_WAIT_MILLIS = 500;

  /** Time that a change has to appear on the log after the last attempt to append it. */
  private static final long RESULT_TIMEOUT_MILLIS = 10_000;

  private final PlatformLog log;
  private final ConfigFold fold = ConfigFold.create();

  private ConfigPublisher(PlatformLog log) {
    this.log = log;
  }

  static ConfigPublisher create(PlatformLog log) {
    return new ConfigPublisher(Objects.requireNonNull(log, "log"));
  }

  /**
   * Creates a publisher on a log that is reached over HTTP.
   *
   * @param http HTTP client, not null
   * @param log base address of the log, not null
   * @return the publisher
   */
  static ConfigPublisher create(HttpCaller http, URI log) {
    return create(HttpPlatformLog.create(http, log));
  }

  /**
   * Reads the log up to the end that it has when the read starts.
   *
   * @return the configuration at that offset
   * @throws CtlException if the log holds no complete configuration
   */
  ConfigState readConfiguration() {
    long endOffset = Long.MAX_VALUE;
    while (fold.nextOffset() < endOffset) {
      LogPage page = log.read(fold.nextOffset(), 0).join();
      endOffset = Math.min(endOffset, page.next());
      for (LogPage.Entry entry : page.records()) {
        fold.offer(entry.offset(), LogRecordCodec.decode(entry.data()));
      }
      boolean incomplete = page.records().isEmpty() && fold.nextOffset() < endOffset;
      if (incomplete || !fold.blockedReason().isEmpty() && page.records().isEmpty()) {
        break;
      }
    }
    if (!fold.blockedReason().isEmpty() || fold.nextOffset() < endOffset) {
      throw new CtlException(
          ExitCode.UNREACHABLE, "the log holds no complete configuration: " + fold.blockedReason());
    }
    return fold.state();
  }

  /**
   * Returns the edits that turn a configuration into the desired objects. Objects that are not
   * desired are deleted.
   *
   * @param currentState the current configuration, not null
   * @param desiredObjects all objects of the new configuration, not null
   * @return the edits, each based on the revision that the object has now
   */
  static List<ObjectEdit> editsBetween(
      ConfigState currentState, List<ConfigObject> desiredObjects) {
    Map<ObjectKey, VersionedObject> current = currentState.byKey();
    Map<ObjectKey, ConfigObject> desired = new HashMap<>();
    desiredObjects.forEach(object -> desired.put(object.key(), object));
    List<ObjectEdit> edits = new ArrayList<>();
    desired.keySet().stream()
        .sorted()
        .forEach(
            key -> {
              VersionedObject existing = current.get(key);
              boolean same = existing != null && existing.object().equals(desired.get(key));
              if (!same) {
                long base = existing == null ? 0 : existing.revision();
                edits.add(new ObjectEdit(key, base, Optional.of(desired.get(key))));
              }
            });
    current.forEach(
        (key, existing) -> {
          if (!desired.containsKey(key)) {
            edits.add(new ObjectEdit(key, existing.revision(), Optional.empty()));
          }
        });
    return edits;
  }

  /**
   * Publishes edits as one change, and waits until the log shows whether it was accepted. The
   * change has an identifier, so that appending it again after a lost response has no second
   * effect.
   *
   * @param author name that is recorded with the change, not null
   * @param edits the edits, at least one, not null
   * @return the result: accepted or rejected
   * @throws CtlException if the change does not appear on the log in time
   */
  ChangeResult publish(String author, List<ObjectEdit> edits) {
    ChangeId id = new ChangeId(UUID.randomUUID().toString());
    String record = LogRecordCodec.encode(new LogRecord.Change(id, author, edits));
    for (int i = 0; i < MAX_APPEND_ATTEMPTS; i++) {
      if (tryAppend(record)) {
        break;
      }
      Optional<ChangeResult> result = awaitResult(id, READ_WAIT_MILLIS);
      if (result.isPresent()) {
        return result.get();
      }
    }
    return awaitResult(id, RESULT_TIMEOUT_MILLIS)
        .orElseThrow(
            () ->
                new CtlException(
                    ExitCode.UNREACHABLE,
                    "change "
                        + id
                        + " did not appear on the log in time; it may still take effect"));
  }

  /** Appends a record; returns false if it is unknown whether the log has taken it. */
  private boolean tryAppend(String record) {
    try {
      log.append(record).join();
      return true;
    } catch (CompletionException e) {
      return false;
    }
  }

  /** Reads the log until it shows the result of a change; empty after the timeout. */
  private Optional<ChangeResult> awaitResult(ChangeId id, long timeoutMillis) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (System.nanoTime() < endNanos) {
      try {
        LogPage page = log.read(fold.nextOffset(), READ_WAIT_MILLIS).join();
        for (LogPage.Entry entry : page.records()) {
          fold.offer(entry.offset(), LogRecordCodec.decode(entry.data()));
        }
      } catch (CompletionException e) {
        Pause.forMillis(READ_WAIT_MILLIS);
      }
      Optional<ChangeResult> result = fold.state().resultOf(id);
      if (result.isPresent()) {
        return result;
      }
    }
    return Optional.empty();
  }
}

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

/** Reads the configuration from the log and publishes changes to it. */
final class ConfigPublisher {

  private static final int ATTEMPTS = 5;
  private static final long WAIT_MILLIS = 500;
  private static final long SETTLE_MILLIS = 10_000;

  private final PlatformLog log;
  private final ConfigFold fold = ConfigFold.create();

  private ConfigPublisher(PlatformLog log) {
    this.log = log;
  }

  static ConfigPublisher create(PlatformLog log) {
    return new ConfigPublisher(Objects.requireNonNull(log, "log"));
  }

  /** Returns a publisher on the log at an address. */
  static ConfigPublisher create(HttpCaller http, URI log) {
    return create(HttpPlatformLog.create(http, log));
  }

  /**
   * Reads the log up to its present end.
   *
   * @return the configuration
   * @throws CtlException if the log holds no complete configuration
   */
  ConfigState read() {
    long end = Long.MAX_VALUE;
    while (fold.nextOffset() < end) {
      LogPage page = log.read(fold.nextOffset(), 0).join();
      end = Math.min(end, page.next());
      for (LogPage.Entry entry : page.records()) {
        fold.offer(entry.offset(), LogRecordCodec.decode(entry.data()));
      }
      boolean stuck = page.records().isEmpty() && fold.nextOffset() < end;
      if (stuck || !fold.blockedReason().isEmpty() && page.records().isEmpty()) {
        break;
      }
    }
    if (!fold.blockedReason().isEmpty() || fold.nextOffset() < end) {
      throw new CtlException(
          ExitCode.UNREACHABLE, "the log holds no complete configuration: " + fold.blockedReason());
    }
    return fold.state();
  }

  /**
   * Returns the edits that lead from a configuration to a folder's objects. Objects that the folder
   * does not hold are deleted.
   */
  static List<ObjectEdit> edits(ConfigState from, List<ConfigObject> to) {
    Map<ObjectKey, VersionedObject> before = from.byKey();
    Map<ObjectKey, ConfigObject> after = new HashMap<>();
    to.forEach(object -> after.put(object.key(), object));
    List<ObjectEdit> edits = new ArrayList<>();
    after.keySet().stream()
        .sorted()
        .forEach(
            key -> {
              VersionedObject known = before.get(key);
              boolean same = known != null && known.object().equals(after.get(key));
              if (!same) {
                long base = known == null ? 0 : known.revision();
                edits.add(new ObjectEdit(key, base, Optional.of(after.get(key))));
              }
            });
    before.forEach(
        (key, known) -> {
          if (!after.containsKey(key)) {
            edits.add(new ObjectEdit(key, known.revision(), Optional.empty()));
          }
        });
    return edits;
  }

  /**
   * Publishes edits and waits until the log shows what became of them.
   *
   * @param author who publishes, for operators to read, not null
   * @param edits the edits, at least one, not null
   * @return the result
   * @throws CtlException if it cannot be told in time
   */
  ChangeResult publish(String author, List<ObjectEdit> edits) {
    ChangeId id = new ChangeId(UUID.randomUUID().toString());
    String record = LogRecordCodec.encode(new LogRecord.Change(id, author, edits));
    for (int i = 0; i < ATTEMPTS; i++) {
      if (tryAppend(record)) {
        break;
      }
      Optional<ChangeResult> result = find(id, WAIT_MILLIS);
      if (result.isPresent()) {
        return result.get();
      }
    }
    return find(id, SETTLE_MILLIS)
        .orElseThrow(
            () ->
                new CtlException(
                    ExitCode.UNREACHABLE,
                    "change " + id + " was not seen on the log; it may still take effect"));
  }

  /** Appends a record; a copy of a change that is on the log already does nothing. */
  private boolean tryAppend(String record) {
    try {
      log.append(record).join();
      return true;
    } catch (CompletionException e) {
      return false;
    }
  }

  private Optional<ChangeResult> find(ChangeId id, long millis) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      try {
        LogPage page = log.read(fold.nextOffset(), WAIT_MILLIS).join();
        for (LogPage.Entry entry : page.records()) {
          fold.offer(entry.offset(), LogRecordCodec.decode(entry.data()));
        }
      } catch (CompletionException e) {
        Pause.millis(WAIT_MILLIS);
      }
      Optional<ChangeResult> result = fold.state().resultOf(id);
      if (result.isPresent()) {
        return result;
      }
    }
    return Optional.empty();
  }
}

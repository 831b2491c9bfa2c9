package org.arbutusspar.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.config.ChangeResult;
import org.arbutusspar.core.config.ConfigFold;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.LogRecord;
import org.arbutusspar.core.config.SnapshotSchedule;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.codec.LogRecordCodec;
import org.arbutusspar.io.platform.LogPage;
import org.arbutusspar.io.platform.PlatformLog;

/**
 * Keeps the configuration of an instance up to date. It reads configuration changes from the
 * platform's log, folds them in order into the configuration, and at times writes a snapshot of the
 * configuration to the log. While the configuration may be out of date, a newer one is adopted from
 * peers.
 *
 * <p>Not thread-safe: all state is confined to the decision thread, except {@link #revision()},
 * which may be called on any thread.
 */
final class ConfigSync {

  private static final Logger LOG = LogManager.getLogger(ConfigSync.class);

  /** Time for which the log holds a read open until a record is appended. */
  private static final long MAX_READ_WAIT_MILLIS = 1_000;

  /** Delay of the next read after a failed one, or while the next record cannot be folded. */
  private static final long RETRY_DELAY_MILLIS = 300;

  /** Time since the last successful read after which the configuration may be out of date. */
  private static final long STALE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final DecisionRuntime runtime;
  private final ScheduledExecutorService timer;
  private final ConfigFold fold = ConfigFold.create();
  private final SnapshotSchedule snapshotSchedule;
  private long lastReadNanos;
  private boolean hasReadLog;

  /** Whether the log was read to its end at least once. */
  private boolean hasCaughtUp;

  /** Message if the log no longer contains the next record and holds no later one, else empty. */
  private String gapReason = "";

  private volatile long revision;

  private ConfigSync(
      PlatformLog log, DecisionLoop loop, DecisionRuntime runtime, ScheduledExecutorService timer) {
    this.log = log;
    this.loop = loop;
    this.runtime = runtime;
    this.timer = timer;
    this.snapshotSchedule = SnapshotSchedule.create(System.nanoTime());
  }

  /**
   * Returns a synchronizer without a configuration.
   *
   * @param log the platform's log, not null
   * @param loop loop of the decision thread, not null
   * @param runtime gets each new configuration, not null
   * @param timer schedules reads, not null
   * @return the synchronizer
   */
  static ConfigSync create(
      PlatformLog log, DecisionLoop loop, DecisionRuntime runtime, ScheduledExecutorService timer) {
    return new ConfigSync(
        Objects.requireNonNull(log, "log"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(timer, "timer"));
  }

  /** Starts to read the log. Each completed read starts the next one. */
  void start() {
    loop.post(this::readNext);
  }

  /** Returns the revision of the configuration in force, 0 if there is none yet. */
  long revision() {
    return revision;
  }

  /** Returns the configuration in force. */
  ConfigState state() {
    return fold.state();
  }

  /**
   * Returns whether the configuration may be out of date: the log was not read within {@link
   * #STALE_AFTER_NANOS}, or its next record is missing or unreadable.
   */
  boolean isStale() {
    boolean readOverdue = !hasReadLog || System.nanoTime() - lastReadNanos > STALE_AFTER_NANOS;
    return readOverdue || !blockedReason().isEmpty();
  }

  /** Returns why the next record of the log cannot be folded, or an empty text if it can. */
  String blockedReason() {
    return fold.blockedReason().isEmpty() ? gapReason : fold.blockedReason();
  }

  /**
   * Returns why the instance has no configuration to serve with, or an empty text if it has one. An
   * empty log counts as a configuration once it has been read to its end.
   */
  String notReadyReason() {
    if (revision > 0 || hasCaughtUp) {
      return "";
    }
    return blockedReason().isEmpty() ? "configuration was not read yet" : blockedReason();
  }

  /**
   * Returns the configuration if it is newer than a peer's.
   *
   * @param peerRevision revision of the peer's configuration
   * @return the configuration, or empty if the peer's is as new or newer
   */
  Optional<ConfigState> stateIfNewerThan(long peerRevision) {
    return fold.state().revision() > peerRevision ? Optional.of(fold.state()) : Optional.empty();
  }

  /**
   * Adopts the configuration of a peer if it is newer.
   *
   * @param state the peer's configuration, not null
   */
  void adopt(ConfigState state) {
    if (fold.adopt(state)) {
      gapReason = "";
      LOG.info(KeyValueLine.event("config-adopted").with("revision", state.revision()));
      publishState();
    }
  }

  private void readNext() {
    log.read(fold.nextOffset(), MAX_READ_WAIT_MILLIS)
        .whenComplete(
            (page, failure) ->
                loop.post(
                    () -> {
                      if (failure == null) {
                        onPage(page);
                      } else {
                        LOG.warn(
                            KeyValueLine.event("log-read-failed")
                                .with("error", failure.getMessage()));
                        scheduleRead();
                      }
                    }));
  }

  private void scheduleRead() {
    timer.schedule(() -> loop.post(this::readNext), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onPage(LogPage page) {
    hasReadLog = true;
    lastReadNanos = System.nanoTime();
    long revisionBefore = fold.state().revision();
    for (LogPage.Entry entry : page.records()) {
      LogRecord record = LogRecordCodec.decode(entry.data());
      if (record instanceof LogRecord.Snapshot) {
        snapshotSchedule.onSnapshot(entry.offset(), System.nanoTime());
      }
      fold.offer(entry.offset(), record).ifPresent(ConfigSync::logResult);
    }
    boolean recordsMissing = page.records().isEmpty() && page.first() > fold.nextOffset();
    gapReason = recordsMissing ? "the log no longer holds record " + fold.nextOffset() : "";
    if (fold.state().revision() != revisionBefore) {
      publishState();
    }
    hasCaughtUp |= blockedReason().isEmpty() && fold.nextOffset() >= page.next();
    if (blockedReason().isEmpty()) {
      readNext();
    } else {
      scheduleRead();
    }
  }

  private static void logResult(ChangeResult result) {
    LOG.info(
        KeyValueLine.event("config-change")
            .with("change", result.id())
            .with("revision", result.offset())
            .with("accepted", result.accepted())
            .with("reason", result.reason()));
  }

  /** Passes the configuration to the coordinator. */
  private void publishState() {
    revision = fold.state().revision();
    runtime.handle(new Event.Configured(fold.state()));
  }

  /**
   * Writes a snapshot if one is due and this instance is to write it. An instance whose
   * configuration may be out of date writes none.
   *
   * @param rank zero-based position of this instance among the live ones
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onTick(int rank, long nowNanos) {
    boolean upToDate = !isStale() && hasCaughtUp;
    if (upToDate && snapshotSchedule.tryStartWrite(fold.state().revision(), rank, nowNanos)) {
      ConfigState state = fold.state();
      LOG.info(KeyValueLine.event("snapshot").with("revision", state.revision()));
      log.append(LogRecordCodec.encode(new LogRecord.Snapshot(state)))
          .whenComplete(
              (offset, failure) -> {
                if (failure != null) {
                  LOG.warn(
                      KeyValueLine.event("snapshot-failed").with("error", failure.getMessage()));
                }
              });
    }
  }
}

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
 * Follows the configuration on the platform's log, and writes snapshots to it. While the log cannot
 * be read, the configuration comes from fellow instances. State belongs to the decision thread.
 */
final class ConfigSync {

  private static final Logger LOG = LogManager.getLogger(ConfigSync.class);
  private static final long MAX_READ_WAIT_MILLIS = 1_000;
  private static final long RETRY_DELAY_MILLIS = 300;
  private static final long STALE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private final PlatformLog log;
  private final DecisionLoop loop;
  private final DecisionRuntime runtime;
  private final ScheduledExecutorService timer;
  private final ConfigFold fold = ConfigFold.create();
  private final SnapshotSchedule snapshotSchedule;
  private long lastReadNanos;
  private boolean hasReadLog;
  private boolean hasCaughtUp;
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

  static ConfigSync create(
      PlatformLog log, DecisionLoop loop, DecisionRuntime runtime, ScheduledExecutorService timer) {
    return new ConfigSync(
        Objects.requireNonNull(log, "log"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(timer, "timer"));
  }

  /** Starts to follow the log. */
  void start() {
    loop.post(this::readNext);
  }

  long revision() {
    return revision;
  }

  ConfigState state() {
    return fold.state();
  }

  /** Returns whether the log has not been read lately, or cannot be folded. */
  boolean isStale() {
    boolean readOverdue = !hasReadLog || System.nanoTime() - lastReadNanos > STALE_AFTER_NANOS;
    return readOverdue || !blockedReason().isEmpty();
  }

  /** Returns why the configuration may be behind, or an empty text. */
  String blockedReason() {
    return fold.blockedReason().isEmpty() ? gapReason : fold.blockedReason();
  }

  /** Returns why there is no configuration to serve with, or an empty text. */
  String notReadyReason() {
    if (revision > 0 || hasCaughtUp) {
      return "";
    }
    return blockedReason().isEmpty() ? "configuration was not read yet" : blockedReason();
  }

  /** Returns the configuration if it is newer than a fellow's. */
  Optional<ConfigState> stateIfNewerThan(long peerRevision) {
    return fold.state().revision() > peerRevision ? Optional.of(fold.state()) : Optional.empty();
  }

  /** Takes over the configuration of a fellow, if it is newer. */
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

  private void publishState() {
    revision = fold.state().revision();
    runtime.handle(new Event.Configured(fold.state()));
  }

  /** Writes a snapshot if it is this instance's turn; on the decision thread. */
  void onTick(int rank, long now) {
    boolean upToDate = !isStale() && hasCaughtUp;
    if (upToDate && snapshotSchedule.tryStartWrite(fold.state().revision(), rank, now)) {
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

package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.HistoryLostException;
import org.arbutusspar.platform.KeyedPage;
import org.arbutusspar.platform.KeyedRecord;
import org.arbutusspar.platform.StoreClient;

/**
 * Follows a keyed topic of the platform's store: first the newest record of each key, then what is
 * appended. A record that is older than the one held for its key is not taken. Runs on the loop.
 */
final class TopicConsumer {

  /** First pause after a failed call; doubled up to the longest. */
  private static final long FIRST_PAUSE_MILLIS = 100;

  private static final long LONGEST_PAUSE_MILLIS = 800;

  /** Entries that are missing are kept for this long after the store has come back. */
  private static final long SETTLE_MILLIS = 2_000;

  /** Silence of the store for longer than this counts as an outage. */
  private static final long OUTAGE_MILLIS = 600;

  private final String topic;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;
  private final PollInterval pollInterval;
  private final Listener listener;
  private final Map<String, KeyedRecord> rows = new HashMap<>();
  private final Map<String, Long> droppedAt = new HashMap<>();
  private long next = -1;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private long lostAt;
  private boolean lost;
  private long settledAt;
  private boolean settling;
  private boolean stopped;

  private TopicConsumer(
      String topic,
      StoreClient store,
      EventLoop loop,
      EventLog log,
      PollInterval pollInterval,
      Listener listener) {
    this.topic = topic;
    this.store = store;
    this.loop = loop;
    this.log = log;
    this.pollInterval = pollInterval;
    this.listener = listener;
  }

  /**
   * Returns a feed that is not started.
   *
   * @param topic the topic, not null
   * @param store the store, not null
   * @param loop runs the feed, not null
   * @param log told of lost and regained contact, not null
   * @param pollInterval how often to read, not null
   * @param listener told of changes, not null
   */
  static TopicConsumer create(
      String topic,
      StoreClient store,
      EventLoop loop,
      EventLog log,
      PollInterval pollInterval,
      Listener listener) {
    return new TopicConsumer(topic, store, loop, log, pollInterval, listener);
  }

  /** Starts to read. */
  void start() {
    readNewest();
  }

  /** Stops to read once the present call ends. */
  void stop() {
    stopped = true;
  }

  private void readNewest() {
    whenDone(store.newest(topic), this::takeNewest, this::readNewest);
  }

  private void readOn() {
    long from = next;
    whenDone(store.read(topic, from, pollInterval.waitMillis()), this::takeSlice, this::readOn);
  }

  private void whenDone(
      CompletableFuture<KeyedPage> call, Consumer<KeyedPage> taker, Runnable again) {
    call.whenComplete(
        (page, failure) ->
            loop.post(
                () -> {
                  if (stopped) {
                    return;
                  }
                  if (failure == null) {
                    onContact();
                    taker.accept(page);
                  } else {
                    onFailure(failure, again);
                  }
                }));
  }

  private void onFailure(Throwable failure, Runnable again) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof HistoryLostException) {
      log.write("store-history-lost", "topic", topic, "offset", next);
      readNewest();
      return;
    }
    if (!lost) {
      lost = true;
      lostAt = loop.now();
      log.write("store-lost", "topic", topic, "offset", next, "reason", cause.getMessage());
    }
    loop.after(pauseMillis, again);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
  }

  private void onContact() {
    pauseMillis = FIRST_PAUSE_MILLIS;
    if (!lost) {
      return;
    }
    lost = false;
    double away = Nanos.toMillis(loop.now() - lostAt);
    log.write("store-regained", "topic", topic, "offset", next, "away_ms", Math.round(away));
    if (away >= OUTAGE_MILLIS) {
      settling = true;
      settledAt = loop.now() + Nanos.ofMillis(SETTLE_MILLIS);
      loop.after(SETTLE_MILLIS + 1, this::settle);
    }
  }

  /** Returns whether the store could not be reached at the last try. */
  boolean isLost() {
    return lost;
  }

  private void takeNewest(KeyedPage page) {
    Map<String, KeyedRecord> listed = new HashMap<>();
    page.records().forEach(record -> listed.put(record.key(), record));
    boolean changed = false;
    boolean current = page.nextOffset() >= next;
    for (String key : List.copyOf(rows.keySet())) {
      if (current && !listed.containsKey(key)) {
        changed |= drop(key);
      }
    }
    for (KeyedRecord record : page.records()) {
      changed |= take(record);
    }
    next = Math.max(next, page.nextOffset());
    tell(changed);
    loop.after(pollInterval.pauseMillis(), this::readOn);
  }

  private void takeSlice(KeyedPage page) {
    boolean changed = false;
    for (KeyedRecord record : page.records()) {
      changed |= take(record);
    }
    next = Math.max(next, page.nextOffset());
    tell(changed);
    loop.after(pollInterval.pauseMillis(), this::readOn);
  }

  private boolean take(KeyedRecord record) {
    KeyedRecord held = rows.get(record.key());
    if (held != null && held.offset() >= record.offset()) {
      return false;
    }
    if (record.value().isEmpty()) {
      return drop(record.key());
    }
    rows.put(record.key(), record);
    droppedAt.remove(record.key());
    return true;
  }

  private boolean drop(String key) {
    if (settling && loop.now() - settledAt < 0) {
      droppedAt.putIfAbsent(key, loop.now());
      return false;
    }
    return rows.remove(key) != null;
  }

  private void settle() {
    if (loop.now() - settledAt < 0) {
      return;
    }
    settling = false;
    boolean changed = false;
    for (String key : droppedAt.keySet()) {
      changed |= rows.remove(key) != null;
    }
    droppedAt.clear();
    tell(changed);
  }

  private void tell(boolean changed) {
    listener.onRead(this, changed);
  }

  /** Returns the offset up to which the topic has been read, -1 if it has not. */
  long offset() {
    return next;
  }

  /** Returns the newest record of each key. */
  Map<String, KeyedRecord> rows() {
    return rows;
  }

  /** Returns the rows as they are handed to another instance. */
  List<PeerMessage.Row> toRows() {
    return rows.values().stream()
        .filter(record -> record.value().isPresent())
        .map(record -> new PeerMessage.Row(record.key(), record.value().get()))
        .toList();
  }

  /**
   * Takes the state of another instance that has read farther. The rows lack offsets of their own;
   * the instance has read up to the given one.
   *
   * @param offset offset up to which it has read
   * @param fresh its rows, not null
   */
  void replaceFromPeer(long offset, List<PeerMessage.Row> fresh) {
    if (offset <= next) {
      return;
    }
    rows.clear();
    droppedAt.clear();
    for (PeerMessage.Row row : fresh) {
      rows.put(row.key(), new KeyedRecord(row.key(), Optional.of(row.value()), offset - 1));
    }
    next = offset;
    tell(true);
  }

  /**
   * How often a topic is read.
   *
   * @param waitMillis how long a call waits at the store for a record
   * @param pauseMillis pause between calls
   */
  record PollInterval(long waitMillis, long pauseMillis) {}

  /** Told of reads. */
  interface Listener {

    /**
     * The topic has been read.
     *
     * @param consumer the feed
     * @param changed whether a row has changed
     */
    void onRead(TopicConsumer consumer, boolean changed);
  }
}

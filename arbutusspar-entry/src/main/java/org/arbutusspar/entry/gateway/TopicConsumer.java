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
 * Consumer of a keyed topic of the platform's store. It reads the newest record of each key, then
 * polls for the records appended since. For each key it holds the record with the highest offset;
 * records with a lower one are ignored.
 *
 * <p>While the store is unreachable, the rows stay as they are, and calls are retried with
 * exponential backoff. For a time after an outage, rows are updated but not removed.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class TopicConsumer {

  /**
   * Delay before the first retry of a failed call, in milliseconds; doubled for each further one.
   */
  private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

  /** Maximum delay before a retry, in milliseconds. */
  private static final long MAX_RETRY_DELAY_MILLIS = 800;

  /**
   * Time after an outage during which no row is removed, in milliseconds. Removals that are read in
   * this time are applied at its end, except for keys of which a newer record has been read.
   */
  private static final long REMOVAL_HOLD_MILLIS = 2_000;

  /**
   * Minimum time from the first failed call to the next successful one that counts as an outage, in
   * milliseconds.
   */
  private static final long MIN_OUTAGE_MILLIS = 600;

  private final String topic;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;
  private final PollInterval pollInterval;
  private final Listener listener;
  private final Map<String, KeyedRecord> rows = new HashMap<>();

  /** Time at which the removal of a row was deferred, in nanoseconds, by the row's key. */
  private final Map<String, Long> heldRemovals = new HashMap<>();

  private long nextOffset = -1;
  private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
  private long unreachableSince;
  private boolean storeUnreachable;
  private long removalsHeldUntil;
  private boolean removalsHeld;
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
   * Returns a consumer that is not started.
   *
   * @param topic name of the topic, not null
   * @param store client of the store, not null
   * @param loop runs all work of the consumer, not null
   * @param log receives lines when the store becomes unreachable or reachable, not null
   * @param pollInterval wait and pause of the calls, not null
   * @param listener notified after each read, not null
   * @return the consumer
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

  /** Starts to consume the topic. */
  void start() {
    readNewest();
  }

  /** Stops the consumer. The result of a call in progress is ignored. */
  void stop() {
    stopped = true;
  }

  private void readNewest() {
    handlePage(store.newest(topic), this::onNewest, this::readNewest);
  }

  private void readAppended() {
    long from = nextOffset;
    handlePage(
        store.read(topic, from, pollInterval.waitMillis()), this::onAppended, this::readAppended);
  }

  private void handlePage(
      CompletableFuture<KeyedPage> call, Consumer<KeyedPage> pageHandler, Runnable retry) {
    call.whenComplete(
        (page, failure) ->
            loop.post(
                () -> {
                  if (stopped) {
                    return;
                  }
                  if (failure == null) {
                    onContact();
                    pageHandler.accept(page);
                  } else {
                    onFailure(failure, retry);
                  }
                }));
  }

  /**
   * Retries a failed call after a delay. If the store no longer has the records at the offset, the
   * newest record of each key is read instead.
   */
  private void onFailure(Throwable failure, Runnable retry) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof HistoryLostException) {
      log.write("store-history-lost", "topic", topic, "offset", nextOffset);
      readNewest();
      return;
    }
    if (!storeUnreachable) {
      storeUnreachable = true;
      unreachableSince = loop.now();
      log.write("store-lost", "topic", topic, "offset", nextOffset, "reason", cause.getMessage());
    }
    loop.after(retryDelayMillis, retry);
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
  }

  private void onContact() {
    retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    if (!storeUnreachable) {
      return;
    }
    storeUnreachable = false;
    double outageMillis = Nanos.toMillis(loop.now() - unreachableSince);
    log.write(
        "store-regained",
        "topic",
        topic,
        "offset",
        nextOffset,
        "away_ms",
        Math.round(outageMillis));
    if (outageMillis >= MIN_OUTAGE_MILLIS) {
      removalsHeld = true;
      removalsHeldUntil = loop.now() + Nanos.ofMillis(REMOVAL_HOLD_MILLIS);
      loop.after(REMOVAL_HOLD_MILLIS + 1, this::applyHeldRemovals);
    }
  }

  /** Returns whether the last call to the store failed. */
  boolean isStoreUnreachable() {
    return storeUnreachable;
  }

  /** Applies the newest record of each key and removes the rows of all other keys. */
  private void onNewest(KeyedPage page) {
    Map<String, KeyedRecord> newest = new HashMap<>();
    page.records().forEach(record -> newest.put(record.key(), record));
    boolean changed = false;
    boolean isUpToDate = page.nextOffset() >= nextOffset;
    for (String key : List.copyOf(rows.keySet())) {
      if (isUpToDate && !newest.containsKey(key)) {
        changed |= remove(key);
      }
    }
    for (KeyedRecord record : page.records()) {
      changed |= applyRecord(record);
    }
    nextOffset = Math.max(nextOffset, page.nextOffset());
    notifyListener(changed);
    loop.after(pollInterval.pauseMillis(), this::readAppended);
  }

  private void onAppended(KeyedPage page) {
    boolean changed = false;
    for (KeyedRecord record : page.records()) {
      changed |= applyRecord(record);
    }
    nextOffset = Math.max(nextOffset, page.nextOffset());
    notifyListener(changed);
    loop.after(pollInterval.pauseMillis(), this::readAppended);
  }

  /** Applies a record, and returns whether the rows have changed. */
  private boolean applyRecord(KeyedRecord record) {
    KeyedRecord current = rows.get(record.key());
    if (current != null && current.offset() >= record.offset()) {
      return false;
    }
    if (record.value().isEmpty()) {
      return remove(record.key());
    }
    rows.put(record.key(), record);
    heldRemovals.remove(record.key());
    return true;
  }

  /** Removes a row, or defers the removal after an outage. Returns whether it was removed now. */
  private boolean remove(String key) {
    if (removalsHeld && loop.now() - removalsHeldUntil < 0) {
      heldRemovals.putIfAbsent(key, loop.now());
      return false;
    }
    return rows.remove(key) != null;
  }

  private void applyHeldRemovals() {
    if (loop.now() - removalsHeldUntil < 0) {
      return;
    }
    removalsHeld = false;
    boolean changed = false;
    for (String key : heldRemovals.keySet()) {
      changed |= rows.remove(key) != null;
    }
    heldRemovals.clear();
    notifyListener(changed);
  }

  private void notifyListener(boolean changed) {
    listener.onRead(this, changed);
  }

  /** Returns the offset from which to read next, or -1 if nothing has been read. */
  long offset() {
    return nextOffset;
  }

  /** Returns the record held for each key, as the live map. */
  Map<String, KeyedRecord> rows() {
    return rows;
  }

  /** Returns the rows in the form in which they are sent to a peer. */
  List<PeerMessage.Row> toRows() {
    return rows.values().stream()
        .filter(record -> record.value().isPresent())
        .map(record -> new PeerMessage.Row(record.key(), record.value().get()))
        .toList();
  }

  /**
   * Replaces all rows by those of a peer that has read farther; if it has not, this method does
   * nothing. The rows of a peer lack their own offsets, so each is held as the last record before
   * the peer's offset.
   *
   * @param offset offset up to which the peer has read the topic, exclusive
   * @param newRows rows of the peer, not null
   */
  void replaceFromPeer(long offset, List<PeerMessage.Row> newRows) {
    if (offset <= nextOffset) {
      return;
    }
    rows.clear();
    heldRemovals.clear();
    for (PeerMessage.Row row : newRows) {
      rows.put(row.key(), new KeyedRecord(row.key(), Optional.of(row.value()), offset - 1));
    }
    nextOffset = offset;
    notifyListener(true);
  }

  /**
   * Timing of the calls to the store.
   *
   * @param waitMillis how long the store may wait for a record before it responds to a call, in
   *     milliseconds
   * @param pauseMillis pause between a response and the next call, in milliseconds
   */
  record PollInterval(long waitMillis, long pauseMillis) {}

  /** Notified on the event loop of what a consumer reads. */
  interface Listener {

    /**
     * Called after each successful read, and after rows were replaced or removed otherwise.
     *
     * @param consumer the consumer
     * @param changed whether a row was added, changed or removed
     */
    void onRead(TopicConsumer consumer, boolean changed);
  }
}

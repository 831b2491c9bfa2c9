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
  private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

  private static final long MAX_RETRY_DELAY_MILLIS = 800;

  /** Entries that are missing are kept for this long after the store has come back. */
  private static final long REMOVAL_HOLD_MILLIS = 2_000;

  /** Silence of the store for longer than this counts as an outage. */
  private static final long MIN_OUTAGE_MILLIS = 600;

  private final String topic;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;
  private final PollInterval pollInterval;
  private final Listener listener;
  private final Map<String, KeyedRecord> rows = new HashMap<>();
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

  /** Returns whether the store could not be reached at the last try. */
  boolean isStoreUnreachable() {
    return storeUnreachable;
  }

  private void onNewest(KeyedPage page) {
    Map<String, KeyedRecord> newest = new HashMap<>();
    page.records().forEach(record -> newest.put(record.key(), record));
    boolean changed = false;
    boolean isUpToDate = page.next() >= nextOffset;
    for (String key : List.copyOf(rows.keySet())) {
      if (isUpToDate && !newest.containsKey(key)) {
        changed |= remove(key);
      }
    }
    for (KeyedRecord record : page.records()) {
      changed |= applyRecord(record);
    }
    nextOffset = Math.max(nextOffset, page.next());
    notifyListener(changed);
    loop.after(pollInterval.pauseMillis(), this::readAppended);
  }

  private void onAppended(KeyedPage page) {
    boolean changed = false;
    for (KeyedRecord record : page.records()) {
      changed |= applyRecord(record);
    }
    nextOffset = Math.max(nextOffset, page.next());
    notifyListener(changed);
    loop.after(pollInterval.pauseMillis(), this::readAppended);
  }

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

  /** Returns the offset up to which the topic has been read, -1 if it has not. */
  long offset() {
    return nextOffset;
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
   * @param newRows its rows, not null
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

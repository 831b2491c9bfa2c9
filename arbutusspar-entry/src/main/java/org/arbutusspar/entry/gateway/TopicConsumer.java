package org.arbutusspar.entry.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.peer.SharedTable;
import org.arbutusspar.core.peer.StorePosition;
import org.arbutusspar.core.peer.StoreRole;
import org.arbutusspar.core.peer.StoreView;
import org.arbutusspar.core.peer.TableCopy;
import org.arbutusspar.core.peer.TableVersion;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.platform.HistoryLostException;
import org.arbutusspar.platform.KeyedPage;
import org.arbutusspar.platform.StoreClient;

/**
 * Consumer of a keyed topic of the platform's store. It reads the newest record of each key into a
 * {@link SharedTable}, then polls for the records appended since. In the role of a follower it
 * makes no calls once it has read the table, and takes over the copies of peers.
 *
 * <p>While the store is unreachable, the rows stay as they are, and calls are retried with
 * exponential backoff. For a time after an outage, or after the store has returned from a copy,
 * rows are updated but not removed.
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
   * Maximum delay before a retry while other instances are responsible for reading, in
   * milliseconds.
   */
  private static final long MAX_FALLBACK_RETRY_DELAY_MILLIS = 2_000;

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

  /** Source of what was read from the store. */
  private static final String STORE = "store";

  private final String topic;
  private final StoreClient store;
  private final EventLoop loop;
  private final EventLog log;
  private final PollInterval pollInterval;
  private final Listener listener;
  private final SharedTable table;
  private StoreRole role = StoreRole.READER;

  /** Whether neither a call is in progress nor one is scheduled. */
  private boolean idle;

  private long lastContact;
  private boolean hadContact;
  private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
  private long unreachableSince;
  private boolean storeUnreachable;
  private long removalsHeldUntil;
  private boolean stopped;

  /** What the table was last read from: {@link #STORE} or the name of a peer. */
  private String source = STORE;

  private TopicConsumer(
      String topic,
      StoreClient store,
      EventLoop loop,
      EventLog log,
      PollInterval pollInterval,
      SharedTable table,
      Listener listener) {
    this.topic = topic;
    this.store = store;
    this.loop = loop;
    this.log = log;
    this.pollInterval = pollInterval;
    this.table = table;
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
   * @param table the empty table to be filled, not null
   * @param listener notified after each read, not null
   * @return the consumer
   */
  static TopicConsumer create(
      String topic,
      StoreClient store,
      EventLoop loop,
      EventLog log,
      PollInterval pollInterval,
      SharedTable table,
      Listener listener) {
    return new TopicConsumer(topic, store, loop, log, pollInterval, table, listener);
  }

  /** Starts to consume the topic. */
  void start() {
    readNewest();
  }

  /** Stops the consumer. The result of a call in progress is ignored. */
  void stop() {
    stopped = true;
  }

  /**
   * Sets whether to read the topic. A table of which nothing has been read is read in any role.
   *
   * @param newRole the role, not null
   */
  void role(StoreRole newRole) {
    role = newRole;
    if (idle && shouldRead()) {
      idle = false;
      read();
    }
  }

  private boolean shouldRead() {
    return role != StoreRole.FOLLOWER || table.offset() < 0;
  }

  /** Returns whether this consumer reads the topic itself. */
  boolean isReader() {
    return role != StoreRole.FOLLOWER;
  }

  /**
   * Reads the newest records once, also in the role of a follower. Has no effect while a call is in
   * progress or scheduled.
   */
  void readNewestOnce() {
    if (idle && !stopped) {
      idle = false;
      log.write("store-read-late", "topic", topic, "offset", StorePosition.toText(table.offset()));
      readNewest();
    }
  }

  private void read() {
    if (table.offset() < 0 || storeUnreachable && pollInterval.newestAfterFailure()) {
      readNewest();
    } else {
      readAppended();
    }
  }

  private void readAgainAfter(long delayMillis) {
    loop.after(
        delayMillis,
        () -> {
          idle = stopped || !shouldRead();
          if (!idle) {
            read();
          }
        });
  }

  private void readNewest() {
    handlePage(store.newest(topic), this::onNewest);
  }

  private void readAppended() {
    handlePage(store.read(topic, table.offset(), pollInterval.waitMillis()), this::onAppended);
  }

  private void handlePage(CompletableFuture<KeyedPage> call, Consumer<KeyedPage> pageHandler) {
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
                    onFailure(failure);
                  }
                }));
  }

  /**
   * Retries a failed call after a delay. If the store no longer has the records at the offset, the
   * newest record of each key is read instead.
   */
  private void onFailure(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof HistoryLostException) {
      log.write(
          "store-history-lost", "topic", topic, "offset", StorePosition.toText(table.offset()));
      readNewest();
      return;
    }
    if (!storeUnreachable) {
      storeUnreachable = true;
      unreachableSince = loop.now();
      log.write(
          "store-lost",
          "topic",
          topic,
          "offset",
          StorePosition.toText(table.offset()),
          "reason",
          cause.getMessage());
    }
    readAgainAfter(retryDelayMillis);
    long maxDelayMillis =
        role == StoreRole.FALLBACK ? MAX_FALLBACK_RETRY_DELAY_MILLIS : MAX_RETRY_DELAY_MILLIS;
    retryDelayMillis = Math.min(maxDelayMillis, 2 * retryDelayMillis);
  }

  private void onContact() {
    hadContact = true;
    lastContact = loop.now();
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
        StorePosition.toText(table.offset()),
        "away_ms",
        Math.round(outageMillis));
    if (outageMillis >= MIN_OUTAGE_MILLIS) {
      holdRemovals();
    }
  }

  private void holdRemovals() {
    table.holdRemovals();
    removalsHeldUntil = loop.now() + Nanos.ofMillis(REMOVAL_HOLD_MILLIS);
    loop.after(REMOVAL_HOLD_MILLIS + 1, this::applyHeldRemovals);
  }

  /** Returns whether the last call to the store failed. */
  boolean isStoreUnreachable() {
    return storeUnreachable;
  }

  /** Returns the time since the last response of the store, in milliseconds. */
  long contactAgeMillis() {
    return hadContact ? (long) Nanos.toMillis(loop.now() - lastContact) : StoreView.NEVER;
  }

  private void onNewest(KeyedPage page) {
    if (StorePosition.isLaterEra(page.nextOffset(), table.offset())) {
      log.write(
          "store-returned",
          "topic",
          topic,
          "offset",
          StorePosition.toText(page.nextOffset()),
          "own_offset",
          StorePosition.toText(table.offset()));
      holdRemovals();
    }
    // Reading goes on in any case, also if a record cannot be processed.
    readAgainAfter(pollInterval.pauseMillis());
    source = STORE;
    notifyListener(table.replace(page.records(), page.nextOffset()));
  }

  private void onAppended(KeyedPage page) {
    readAgainAfter(pollInterval.pauseMillis());
    source = STORE;
    notifyListener(table.append(page.records(), page.nextOffset()));
  }

  private void applyHeldRemovals() {
    if (loop.now() - removalsHeldUntil >= 0) {
      notifyListener(table.releaseRemovals());
    }
  }

  private void notifyListener(boolean changed) {
    listener.onRead(this, changed);
  }

  /** Returns the table that holds what was read, not to be modified. */
  SharedTable table() {
    return table;
  }

  /**
   * Applies the copy of a peer that has read farther; if it has not, this method does nothing.
   *
   * @param peerName name of the peer, not null
   * @param copy the copy, not null
   * @return whether the copy was applied
   */
  boolean merge(String peerName, TableCopy copy) {
    boolean usable = copy.complete() || table.offset() >= 0;
    boolean applied = usable && table.merge(copy);
    if (applied) {
      source = peerName;
      notifyListener(true);
    }
    return applied;
  }

  /** Returns what the table was last read from: "store" or the name of a peer. */
  String source() {
    return source;
  }

  /**
   * Follows the table of a peer if this consumer does not read the topic itself.
   *
   * @param peerVersion version of the peer's table, not null
   * @return whether this table has all rows of the peer's
   */
  boolean follow(TableVersion peerVersion) {
    return isReader() ? table.offset() >= peerVersion.changeOffset() : table.follow(peerVersion);
  }

  /**
   * Timing and kind of the calls to the store.
   *
   * @param waitMillis how long the store may wait for a record before it responds to a call, in
   *     milliseconds
   * @param pauseMillis pause between a response and the next call, in milliseconds
   * @param newestAfterFailure whether the newest record of each key is read after a failed call,
   *     instead of all records since then
   */
  record PollInterval(long waitMillis, long pauseMillis, boolean newestAfterFailure) {}

  /** Notified on the event loop of what a consumer reads. */
  interface Listener {

    /**
     * Called after each successful read, and after the table has changed otherwise.
     *
     * @param consumer the consumer
     * @param changed whether a row was added, changed or removed
     */
    void onRead(TopicConsumer consumer, boolean changed);
  }
}

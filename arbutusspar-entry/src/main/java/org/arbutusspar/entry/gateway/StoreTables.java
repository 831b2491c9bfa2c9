package org.arbutusspar.entry.gateway;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.peer.CatchUp;
import org.arbutusspar.core.peer.FewInstancesRead;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.peer.RowRules;
import org.arbutusspar.core.peer.SharedTable;
import org.arbutusspar.core.peer.StorePosition;
import org.arbutusspar.core.peer.StoreReaders;
import org.arbutusspar.core.peer.StoreRole;
import org.arbutusspar.core.peer.StoreView;
import org.arbutusspar.core.peer.TableCopy;
import org.arbutusspar.core.peer.TableName;
import org.arbutusspar.core.peer.TableVersion;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.StoreClient;

/**
 * The tables that this instance reads from the platform's store or copies from its peers: the
 * configuration, the replicas and the instances.
 *
 * <p>{@link StoreReaders} decides which instances read. Heartbeats carry the versions of their
 * tables; an instance whose version is behind that of a peer requests the rows that it lacks.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class StoreTables {

  /**
   * Timing of the reads of the configuration: long polls without a pause, so that a new
   * configuration is read as soon as it is appended. The wait bounds how late a connection that no
   * longer responds is detected. After a failed call only the newest version is read: the records
   * since then may hold so many large versions that each further call would time out.
   */
  private static final TopicConsumer.PollInterval CONFIGURATION_POLL_INTERVAL =
      new TopicConsumer.PollInterval(700, 0, true);

  /**
   * Timing of the reads of the list of replicas. Replicas append records continuously, so calls are
   * separated by a pause. It bounds how late a leaving replica is detected. Both times together are
   * short enough for peers to rely on this instance; see {@link FewInstancesRead}.
   */
  private static final TopicConsumer.PollInterval REPLICAS_POLL_INTERVAL =
      new TopicConsumer.PollInterval(400, 600, false);

  /**
   * Timing of the reads of the list of instances. Instances start and stop rarely, so calls may
   * wait long.
   */
  private static final TopicConsumer.PollInterval INSTANCES_POLL_INTERVAL =
      new TopicConsumer.PollInterval(5_000, 100, false);

  /**
   * Delay of a request for rows after a heartbeat shows that they are missing, in milliseconds.
   * Several peers report a change within this time, and the requests are spread over them.
   */
  private static final long COPY_DELAY_MILLIS = 100;

  /** Delay of such a request while this instance reads the store itself, in milliseconds. */
  private static final long READER_COPY_DELAY_MILLIS = 800;

  /** Time after which a request for rows without response is repeated, in milliseconds. */
  private static final long COPY_TIMEOUT_MILLIS = 600;

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final EventLoop loop;
  private final EventLog log;
  private final StoreReaders readers;
  private final Map<TableName, TopicConsumer> consumers = new EnumMap<>(TableName.class);
  private final Map<TableName, CatchUp> catchUps = new EnumMap<>(TableName.class);
  private final Set<TableName> requested = EnumSet.noneOf(TableName.class);
  private StoreRole role = StoreRole.READER;

  /** The last complete copy of the configuration for peers, as it is sent. */
  private byte[] encodedConfiguration = {};

  private TableVersion encodedVersion = TableVersion.NONE;

  private StoreTables(
      PeerTable peers,
      PeerNetwork peerNetwork,
      EventLoop loop,
      EventLog log,
      StoreReaders readers) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.loop = loop;
    this.log = log;
    this.readers = readers;
  }

  /**
   * Returns tables that are not started.
   *
   * @param store client of the store, not null
   * @param peers the peers and their statuses, not null
   * @param peerNetwork sends requests and responses to peers, not null
   * @param loop runs all work of the tables, not null
   * @param log receives lines on the store's reachability and on copies, not null
   * @param readers decides which instances read the store, not null
   * @param listeners notified after each read or change, by table, not null
   * @return the tables
   */
  static StoreTables create(
      StoreClient store,
      PeerTable peers,
      PeerNetwork peerNetwork,
      EventLoop loop,
      EventLog log,
      StoreReaders readers,
      Map<TableName, TopicConsumer.Listener> listeners) {
    StoreTables tables = new StoreTables(peers, peerNetwork, loop, log, readers);
    for (TableName name : TableName.values()) {
      tables.catchUps.put(name, CatchUp.create(peers.self().name()));
      tables.consumers.put(
          name,
          TopicConsumer.create(
              topic(name),
              store,
              loop,
              log,
              pollInterval(name),
              SharedTable.create(rowRules(name)),
              (consumer, changed) -> tables.onRead(name, listeners.get(name), consumer, changed)));
    }
    return tables;
  }

  private void onRead(
      TableName name, TopicConsumer.Listener listener, TopicConsumer consumer, boolean changed) {
    listener.onRead(consumer, changed);
    if (catchUps.get(name).isBehind() && !isPeerAhead(name)) {
      catchUps.get(name).onCaughtUp();
    }
  }

  private boolean isPeerAhead(TableName name) {
    return !peers.aheadOf(name, consumers.get(name).table().offset(), loop.now()).isEmpty();
  }

  private static String topic(TableName name) {
    return switch (name) {
      case CONFIGURATION -> StoreClient.CONFIGURATION_TOPIC;
      case REPLICAS -> StoreClient.REPLICAS_TOPIC;
      case INSTANCES -> StoreClient.INSTANCES_TOPIC;
    };
  }

  private static TopicConsumer.PollInterval pollInterval(TableName name) {
    return switch (name) {
      case CONFIGURATION -> CONFIGURATION_POLL_INTERVAL;
      case REPLICAS -> REPLICAS_POLL_INTERVAL;
      case INSTANCES -> INSTANCES_POLL_INTERVAL;
    };
  }

  private static RowRules rowRules(TableName name) {
    return switch (name) {
      case CONFIGURATION -> new ConfigurationRules();
      case REPLICAS -> new ReplicaRules();
      case INSTANCES -> new InstanceRules();
    };
  }

  /** Starts to read all tables. */
  void start() {
    consumers.values().forEach(TopicConsumer::start);
  }

  /** Stops reading. Results of calls in progress are ignored. */
  void stop() {
    consumers.values().forEach(TopicConsumer::stop);
  }

  /** Returns a table, not to be modified. */
  SharedTable table(TableName name) {
    return consumers.get(name).table();
  }

  /** Returns what a table was last read from: "store" or the name of a peer. */
  String source(TableName name) {
    return consumers.get(name).source();
  }

  /** Returns for how long a table has lacked changes that a live peer has, in milliseconds. */
  long behindMillis(TableName name) {
    return (long) Nanos.toMillis(catchUps.get(name).behindNanos(loop.now()));
  }

  /** Returns whether this instance reads the store for the whole deployment. */
  boolean isReader() {
    return role == StoreRole.READER;
  }

  /** Returns the view of the store to send to peers. */
  StoreView view() {
    Map<TableName, TableVersion> versions = new EnumMap<>(TableName.class);
    consumers.forEach((name, consumer) -> versions.put(name, consumer.table().version()));
    TopicConsumer configuration = consumers.get(TableName.CONFIGURATION);
    TopicConsumer replicas = consumers.get(TableName.REPLICAS);
    return new StoreView(
        configuration.isStoreUnreachable() || replicas.isStoreUnreachable(),
        Math.max(configuration.contactAgeMillis(), replicas.contactAgeMillis()),
        versions);
  }

  /** Decides anew whether this instance reads the store. To be called at each heartbeat. */
  void updateRole() {
    StoreRole newRole = readers.role(peers, loop.now());
    if (newRole != role) {
      log.write("store-role", "role", newRole);
      role = newRole;
    }
    consumers.values().forEach(consumer -> consumer.role(newRole));
  }

  /**
   * Compares the versions of a peer's tables with those of this instance, and requests missing
   * rows.
   *
   * @param peerName name of the peer, not null
   */
  void onHeartbeat(String peerName) {
    StoreView view = peers.status(peerName).store();
    consumers.forEach(
        (name, consumer) -> {
          if (!consumer.follow(view.version(name))) {
            catchUps.get(name).onBehind(loop.now());
            scheduleRequest(name, consumer);
          }
        });
  }

  private void scheduleRequest(TableName name, TopicConsumer consumer) {
    if (requested.add(name)) {
      boolean readsItself = consumer.isReader() && !consumer.isStoreUnreachable();
      loop.after(readsItself ? READER_COPY_DELAY_MILLIS : COPY_DELAY_MILLIS, () -> request(name));
    }
  }

  /**
   * Requests missing rows from one of the peers that have them, until none has more. If they have
   * been missing for too long, the store is read as well.
   */
  private void request(TableName name) {
    CatchUp catchUp = catchUps.get(name);
    TopicConsumer consumer = consumers.get(name);
    List<Peer> sources = peers.aheadOf(name, consumer.table().offset(), loop.now());
    Optional<String> source = catchUp.nextSource(PeerTable.names(sources));
    if (source.isEmpty()) {
      catchUp.onCaughtUp();
      requested.remove(name);
      return;
    }
    requestFrom(source.get(), name);
    if (catchUp.needsStore(loop.now()) && isReadWhenLate(name)) {
      consumer.readNewestOnce();
    }
    loop.after(COPY_TIMEOUT_MILLIS, () -> request(name));
  }

  /**
   * Returns whether the store is read if peers do not send the missing rows of a table in time.
   * Only the configuration has a time limit, and for the other tables the peers may be holding back
   * removals that a read would apply.
   */
  private static boolean isReadWhenLate(TableName name) {
    return name == TableName.CONFIGURATION;
  }

  private void requestFrom(String peerName, TableName name) {
    long offset = consumers.get(name).table().offset();
    log.write(
        "copy-requested",
        "peer",
        peerName,
        "table",
        name,
        "offset",
        StorePosition.toText(offset),
        "request",
        catchUps.get(name).requests(),
        "behind_ms",
        behindMillis(name));
    peerNetwork.send(peerName, new PeerMessage.TableRequest(name, offset));
  }

  /**
   * Handles a message from a peer. Messages that do not concern tables are ignored.
   *
   * @param peerName name of the peer, not null
   * @param message the message, not null
   */
  void onMessage(String peerName, PeerMessage message) {
    if (message instanceof PeerMessage.TableRequest request) {
      respond(peerName, request);
    } else if (message instanceof PeerMessage.TableData data) {
      onCopy(peerName, data);
    }
  }

  private void onCopy(String peerName, PeerMessage.TableData data) {
    TableCopy copy = data.copy();
    TopicConsumer consumer = consumers.get(data.table());
    String ownOffset = StorePosition.toText(consumer.table().offset());
    int requests = catchUps.get(data.table()).requests();
    long behindMillis = behindMillis(data.table());
    boolean applied = consumer.merge(peerName, copy);
    log.write(
        "table-from-fellow",
        "fellow",
        peerName,
        "table",
        data.table(),
        "offset",
        StorePosition.toText(copy.version().offset()),
        "own_offset",
        ownOffset,
        "rows",
        copy.rows().size(),
        "bytes",
        copy.rows().stream().mapToInt(row -> row.value().length).sum(),
        "applied",
        applied,
        "requests",
        requests,
        "behind_ms",
        behindMillis);
  }

  private void respond(String peerName, PeerMessage.TableRequest request) {
    SharedTable table = table(request.table());
    if (request.table() != TableName.CONFIGURATION) {
      peerNetwork.send(
          peerName, new PeerMessage.TableData(request.table(), table.copySince(request.since())));
      return;
    }
    if (!encodedVersion.equals(table.version())) {
      encodedVersion = table.version();
      encodedConfiguration =
          PeerCodec.encode(
              new PeerMessage.TableData(TableName.CONFIGURATION, table.copySince(-1)), loop.now());
    }
    peerNetwork.send(peerName, encodedConfiguration);
  }
}

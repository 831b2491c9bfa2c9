package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.core.stage.QueueWait;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.ConfigurationReader;
import org.arbutusspar.platform.KeyedRecord;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.ReplicaReader;
import org.arbutusspar.platform.StoreClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** An entry instance on the platform, from its start to its shutdown. */
public final class Gateway implements AutoCloseable {

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 8;
  private static final int LOG_LINES_PER_SECOND = 200;

  /** Longest time for making a connection to a replica. */
  private static final long CONNECT_MILLIS = 800;

  /** Connections without a call are closed after this; replicas close theirs later. */
  private static final long IDLE_MILLIS = 4_000;

  /** How long a call for the configuration waits: a silent connection is noticed after it. */
  private static final TopicConsumer.PollInterval CONFIGURATION_POLL_INTERVAL =
      new TopicConsumer.PollInterval(1_200, 0);

  /** Replicas write all the time, so reads are spaced out; a leaving one is noticed within it. */
  private static final TopicConsumer.PollInterval REPLICAS_POLL_INTERVAL =
      new TopicConsumer.PollInterval(1_000, 600);

  /** Instances come and go seldom. */
  private static final TopicConsumer.PollInterval INSTANCES_POLL_INTERVAL =
      new TopicConsumer.PollInterval(5_000, 100);

  private static final long ANNOUNCE_PAUSE_MILLIS = 500;

  /** Waits are told at most this often, and less often to many instances, to bound the bytes. */
  private static final long TELL_MILLIS = 80;

  private static final long TELL_MILLIS_PER_PEER = 5;

  /** A wait is told before the next beat if it differs by more; admission decides by some 100. */
  private static final int TOLD_CHANGE_MILLIS = 100;

  /** Shutdown takes at least this long, so that clients learn of other addresses. */
  private static final long LEAVE_MILLIS = 3_000;

  /** Time for the last answers to be written before the instance ends. */
  private static final long LAST_ANSWERS_MILLIS = 100;

  /** Time kept back of the time that a shutdown may take. */
  private static final long EXIT_MARGIN_MILLIS = 700;

  private static final long LEAVE_STEP_MILLIS = 50;

  /** Longest wait for threads that still run when the instance is closed. */
  private static final long STOP_MILLIS = 100;

  private final PlatformSettings settings;
  private final EventLog log = EventLog.create(LOG_LINES_PER_SECOND);
  private final GatewayMetrics metrics = GatewayMetrics.create();
  private final EventLoop loop = EventLoop.start();
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
  private final RawClient client;
  private final StoreClient store;
  private final StreamHost host;
  private final PeerTable peers;
  private final PeerNetwork net;
  private final ReplicaRegistry replicas;
  private final EnginePlacement engines;
  private final PieceDispatcher pieces;
  private final RequestContext context;
  private final ClientHandler clients;
  private final TopicConsumer configuration;
  private final TopicConsumer listed;
  private final TopicConsumer instances;
  private boolean tellingWaits;
  private final Set<String> behind = new HashSet<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean leaving;
  private volatile boolean ready;
  private volatile StateSnapshot snapshot = StateSnapshot.NONE;
  private ServingState state;
  private long stateOffset = -1;

  private Gateway(PlatformSettings settings, long incarnation) {
    this.settings = settings;
    threads.setName("http");
    threads.setStopTimeout(STOP_MILLIS);
    client = RawClient.start(settings.ipAddress(), threads, CONNECT_MILLIS, IDLE_MILLIS);
    store = StoreClient.create(client, settings.store());
    host = StreamHost.create(threads);
    Peer self =
        new Peer(
            settings.instance(),
            incarnation,
            settings.dataCentre(),
            settings.links(),
            settings.clients());
    peers = PeerTable.create(self, PeerNetwork.LIVENESS_TIMEOUT_MILLIS);
    net = PeerNetwork.create(peers, loop, log, settings.seeds(), new PeerEvents());
    replicas = ReplicaRegistry.create();
    engines = new EnginePlacement(peers, net, replicas, loop);
    pieces = new PieceDispatcher(peers, net, replicas, client, loop, log);
    pieces.onWaitsChanged(this::tellWaitsSoon);
    context =
        RequestContext.create(
            loop, client, replicas, engines, pieces, peers, settings.bounds(), log, metrics);
    clients = new ClientHandler(context);
    configuration =
        consumer(
            StoreClient.CONFIGURATION_TOPIC, CONFIGURATION_POLL_INTERVAL, this::onConfiguration);
    listed = consumer(StoreClient.REPLICAS_TOPIC, REPLICAS_POLL_INTERVAL, this::onReplicas);
    instances = consumer(StoreClient.INSTANCES_TOPIC, INSTANCES_POLL_INTERVAL, this::onInstances);
  }

  private TopicConsumer consumer(
      String topic, TopicConsumer.PollInterval pollInterval, TopicConsumer.Listener listener) {
    return TopicConsumer.create(topic, store, loop, log, pollInterval, listener);
  }

  /**
   * Starts an instance.
   *
   * @param settings its settings, not null
   * @return the instance, to be closed by whoever asked for it
   */
  public static Gateway start(PlatformSettings settings) {
    Gateway gateway = new Gateway(settings, System.currentTimeMillis());
    gateway.open();
    return gateway;
  }

  private void open() {
    log.write(
        "start",
        "instance",
        settings.instance(),
        "data_centre",
        settings.dataCentre(),
        "clients",
        settings.clients(),
        "links",
        settings.links(),
        "store",
        settings.store());
    registerGauges();
    host.add(settings.clients(), clients);
    PublicEndpoints endpoints =
        PublicEndpoints.create(loop, peers, metrics, settings.bounds(), () -> ready && !leaving);
    host.add(settings.readiness(), endpoints::readiness);
    host.add(settings.directory(), endpoints::addresses);
    settings.metrics().ifPresent(endpoint -> host.add(endpoint, endpoints::metrics));
    host.start();
    loop.post(
        () -> {
          net.start();
          configuration.start();
          listed.start();
          instances.start();
          announce();
        });
  }

  private void registerGauges() {
    metrics.gauge("arbutusspar_active_requests", "Requests that have not ended", clients::active);
    metrics.gauge(
        "arbutusspar_configuration_offset",
        "Offset of the configuration in force",
        () -> stateOffset);
    metrics.gauge(
        "arbutusspar_waiting_pieces",
        "Pieces that wait here for a call, for the requests of all instances",
        () -> snapshot.waitingPieces());
    metrics.gauge(
        "arbutusspar_configuration_version",
        "Version of the configuration in force, -1 if there is none",
        () -> snapshot.configurationVersion());
    metrics.gauges(
        "arbutusspar_replicas",
        "Listed replicas by state: usable, resting after failures, leaving",
        "state",
        () -> snapshot.replicasByState());
    metrics.gauges(
        "arbutusspar_queue_wait_milliseconds",
        "Expected wait of a new piece, for each service gathered here",
        "service",
        () -> snapshot.queueWaitMillis());
    metrics.gauges(
        "arbutusspar_repeats_left",
        "Requests that may be sent to a service once more now",
        "service",
        () -> snapshot.retriesLeft());
    metrics.gauge(
        "arbutusspar_ready",
        "1 if the instance takes requests of clients",
        () -> ready && !leaving ? 1 : 0);
    metrics.gauge(
        "arbutusspar_live_instances",
        "Instances heard of lately, this one included",
        () -> snapshot.liveInstances());
  }

  private void announce() {
    if (leaving) {
      return;
    }
    byte[] self = PeerCodec.encode(new PeerMessage.Hello(peers.self(), List.of()), 0);
    store
        .append(StoreClient.INSTANCES_TOPIC, settings.instance(), Optional.of(self))
        .whenComplete(
            (done, failure) ->
                loop.post(
                    () -> {
                      if (failure != null) {
                        log.write("announce-failed", "error", failure.getMessage());
                        loop.after(ANNOUNCE_PAUSE_MILLIS, this::announce);
                      }
                    }));
  }

  private void onConfiguration(TopicConsumer consumer, boolean changed) {
    KeyedRecord record = consumer.rows().get(StoreClient.CONFIGURATION_KEY);
    if (record != null && record.value().isPresent() && record.offset() > stateOffset) {
      apply(record);
    }
    updateStatus();
  }

  private void apply(KeyedRecord record) {
    ServingState fresh;
    try {
      fresh = ConfigurationReader.read(record.value().orElseThrow());
    } catch (IOException e) {
      log.write("configuration-malformed", "offset", record.offset(), "error", e.getMessage());
      return;
    }
    if (state != null && fresh.version() <= state.version()) {
      stateOffset = Math.max(stateOffset, record.offset());
      return;
    }
    state = fresh;
    stateOffset = record.offset();
    host.maxHeaderBytes(fresh.limits().headerBytes());
    host.headerTimeoutMillis(fresh.limits().headerMillis());
    host.idleTimeoutMillis(fresh.limits().idleMillis());
    pieces.onState(fresh);
    clients.state(fresh);
    ready = !leaving;
    log.write(
        "configuration",
        "version",
        fresh.version(),
        "offset",
        record.offset(),
        "routes",
        fresh.routes().routes().size());
  }

  private void onReplicas(TopicConsumer consumer, boolean changed) {
    if (changed) {
      List<UpstreamReplica> read = new ArrayList<>();
      consumer
          .rows()
          .forEach(
              (id, record) ->
                  record.value().flatMap(v -> ReplicaReader.read(id, v)).ifPresent(read::add));
      logChanges(read);
      replicas.replace(read);
      engines.onReplicas();
      pieces.onReplicas();
    }
    updateStatus();
  }

  private void logChanges(Collection<UpstreamReplica> read) {
    for (UpstreamReplica replica : read) {
      Optional<UpstreamReplica> before = replicas.find(replica.id());
      if (before.isEmpty() || !before.get().equals(replica)) {
        log.write(
            "replica",
            "replica",
            replica.id(),
            "service",
            replica.service(),
            "endpoint",
            replica.endpoint(),
            "leaving",
            replica.leaving(),
            "slots",
            replica.slots(),
            "offset",
            listed.offset());
      }
    }
    for (UpstreamReplica gone : replicas.missingFrom(read)) {
      log.write("replica-gone", "replica", gone.id(), "offset", listed.offset());
    }
  }

  private void onInstances(TopicConsumer consumer, boolean changed) {
    for (KeyedRecord record : consumer.rows().values()) {
      if (record.value().isEmpty()) {
        continue;
      }
      try {
        if (PeerCodec.decode(record.value().get(), 0) instanceof PeerMessage.Hello hello) {
          net.discover(hello.self());
        }
      } catch (IOException e) {
        log.write("instance-malformed", "key", record.key(), "error", e.getMessage());
      }
    }
  }

  private void updateSnapshot() {
    Map<String, Integer> waits = new HashMap<>();
    peers.ownStatus().waits().forEach((service, each) -> waits.put(service, each.millis(false)));
    snapshot =
        new StateSnapshot(
            state == null ? -1 : state.version(),
            replicas.countByState(loop.now()),
            waits,
            peers.liveCount(loop.now()),
            pieces.waiting(),
            context.retriesLeft());
  }

  private void updateStatus() {
    Set<String> roles = new HashSet<>(pieces.roles());
    roles.addAll(engines.roles());
    PeerStatus fresh =
        new PeerStatus(
            ready, leaving, configuration.offset(), listed.offset(), pieces.waits(), roles);
    PeerStatus before = peers.ownStatus();
    peers.ownStatus(fresh);
    if (before.ready() != fresh.ready() || before.leaving() != fresh.leaving()) {
      net.announce();
    }
  }

  /** Tells the others of longer or shorter waits between beats, which are too far apart. */
  private void tellWaitsSoon() {
    if (tellingWaits) {
      return;
    }
    tellingWaits = true;
    long pause = TELL_MILLIS + TELL_MILLIS_PER_PEER * peers.all().size();
    loop.after(pause, this::tellWaits);
  }

  private void tellWaits() {
    tellingWaits = false;
    Map<String, QueueWait> before = peers.ownStatus().waits();
    updateStatus();
    Map<String, QueueWait> fresh = peers.ownStatus().waits();
    boolean changed =
        fresh.entrySet().stream()
            .anyMatch(
                entry ->
                    before
                        .getOrDefault(entry.getKey(), QueueWait.NONE)
                        .differs(entry.getValue(), TOLD_CHANGE_MILLIS));
    if (changed) {
      net.announce();
    }
  }

  /** Asks other instances for what this one cannot read from the store itself. */
  private void catchUp() {
    askFor(PeerMessage.Table.CONFIGURATION, configuration);
    askFor(PeerMessage.Table.REPLICAS, listed);
  }

  private void askFor(PeerMessage.Table table, TopicConsumer consumer) {
    boolean ofConfiguration = table == PeerMessage.Table.CONFIGURATION;
    Optional<Peer> ahead = peers.mostAdvanced(ofConfiguration, loop.now());
    if (ahead.isEmpty()) {
      behind.remove(table.name());
      return;
    }
    boolean again = !behind.add(table.name());
    if (consumer.isLost() || again && ofConfiguration) {
      net.send(ahead.get().name(), new PeerMessage.TableRequest(table));
    }
  }

  /**
   * Leaves: takes no part in new work, serves what clients still send, and stops once all requests
   * have ended or the time for a shutdown is over.
   *
   * @param signal what asked for it, not null
   */
  public void leave(String signal) {
    if (leaving) {
      return;
    }
    leaving = true;
    log.write("stop", "signal", signal, "active", clients.active());
    long from = loop.now();
    clients.leave(from + Nanos.ofMillis(settings.bounds().shutdownMillis() - EXIT_MARGIN_MILLIS));
    loop.post(
        () -> {
          updateStatus();
          store.append(StoreClient.INSTANCES_TOPIC, settings.instance(), Optional.empty());
          awaitEnd(from);
        });
  }

  private void awaitEnd(long from) {
    long elapsed = (long) Nanos.toMillis(loop.now() - from);
    long longest = settings.bounds().shutdownMillis() - EXIT_MARGIN_MILLIS;
    boolean idle = clients.active() == 0 && pieces.isIdle();
    if (elapsed >= longest) {
      clients.refuseUnsent();
      loop.after(LAST_ANSWERS_MILLIS, () -> end(elapsed));
    } else if (idle && elapsed >= Math.min(LEAVE_MILLIS, longest)) {
      end(elapsed);
    } else {
      loop.after(LEAVE_STEP_MILLIS, () -> awaitEnd(from));
    }
  }

  private void end(long elapsed) {
    log.write("stopped", "active", clients.active(), "elapsed_ms", elapsed);
    List.of(configuration, listed, instances).forEach(TopicConsumer::stop);
    stopped.countDown();
  }

  /** Returns the number of pieces that wait in the queues of this instance. */
  int waitingPieces() {
    return CompletableFuture.supplyAsync(pieces::waiting, loop::post).join();
  }

  /** Returns the metrics in the Prometheus text format. */
  byte[] metrics() {
    return metrics.text();
  }

  /**
   * Waits until the instance has left.
   *
   * @throws InterruptedException if the wait is interrupted
   */
  public void await() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    net.close();
    host.close();
    client.close();
    loop.close();
  }

  /** Takes what other instances say. */
  private final class PeerEvents implements PeerNetwork.Listener {
    @Override
    public void onMessage(String name, PeerMessage message) {
      if (message instanceof PeerMessage.TableRequest request) {
        TopicConsumer consumer =
            request.table() == PeerMessage.Table.CONFIGURATION ? configuration : listed;
        net.send(
            name, new PeerMessage.TableData(request.table(), consumer.offset(), consumer.toRows()));
      } else if (message instanceof PeerMessage.TableData data) {
        TopicConsumer consumer =
            data.table() == PeerMessage.Table.CONFIGURATION ? configuration : listed;
        log.write(
            "table-from-fellow",
            "fellow",
            name,
            "table",
            data.table(),
            "offset",
            data.offset(),
            "own_offset",
            consumer.offset());
        consumer.replaceFromPeer(data.offset(), data.rows());
      } else {
        engines.onMessage(name, message);
        pieces.onMessage(name, message);
      }
    }

    @Override
    public void onHeartbeat(String name) {
      catchUp();
    }

    @Override
    public void onDown(String name) {
      engines.onDown(name);
      pieces.onDown(name);
    }

    @Override
    public void onHeartbeatSent() {
      updateStatus();
      updateSnapshot();
    }
  }
}

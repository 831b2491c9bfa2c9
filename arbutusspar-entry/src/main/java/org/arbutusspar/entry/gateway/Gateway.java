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
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.FewInstancesRead;
import org.arbutusspar.core.peer.HubTopology;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.peer.SharedTable;
import org.arbutusspar.core.peer.StorePosition;
import org.arbutusspar.core.peer.TableName;
import org.arbutusspar.core.placement.ColdBound;
import org.arbutusspar.core.placement.ColdReplicas;
import org.arbutusspar.core.placement.EngineChooser;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.EngineQueue;
import org.arbutusspar.core.placement.EngineRoom;
import org.arbutusspar.core.placement.Evacuations;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.ReplicaSpeeds;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.EngineLimits;
import org.arbutusspar.core.routing.HeldBytes;
import org.arbutusspar.core.routing.ServedService;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.core.routing.ShutdownAdmission;
import org.arbutusspar.core.routing.WarmUp;
import org.arbutusspar.core.stage.QueueWait;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.ConfigurationReader;
import org.arbutusspar.platform.EvacuationReader;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.ReplicaReader;
import org.arbutusspar.platform.StoreClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An entry instance on the platform, from its start to its shutdown.
 *
 * <p>It creates the parts of the instance, reads the configuration, the replicas and the instances
 * from the platform's store, exchanges its status with the peers, and carries out the graceful
 * shutdown. Apart from the start, private methods run on the event loop.
 */
public final class Gateway implements AutoCloseable {

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 8;
  private static final int LOG_LINES_PER_SECOND = 200;

  /** Connect timeout of calls to replicas and the store, in milliseconds. */
  private static final long CONNECT_TIMEOUT_MILLIS = 800;

  /**
   * Time after which a connection without a call is closed, in milliseconds. It is shorter than the
   * idle timeout of the replicas, so that this side closes first.
   */
  private static final long IDLE_TIMEOUT_MILLIS = 4_000;

  /** Delay before a failed announcement in the store is retried, in milliseconds. */
  private static final long ANNOUNCE_RETRY_DELAY_MILLIS = 500;

  /** Minimum delay before a lost announcement is repeated, in milliseconds. */
  private static final long MIN_ANNOUNCE_DELAY_MILLIS = 1_000;

  /** Maximum addition to that delay, in milliseconds; each instance has its own. */
  private static final long MAX_ANNOUNCE_SPREAD_MILLIS = 3_000;

  /**
   * Fixed part of the minimum interval between two status updates caused by changed queue waits, in
   * milliseconds.
   */
  private static final long STATUS_UPDATE_DELAY_MILLIS = 80;

  /** Addition to that interval for each known peer, which bounds the bytes sent to many peers. */
  private static final long STATUS_UPDATE_DELAY_MILLIS_PER_PEER = 5;

  /**
   * Largest change of a queue wait that is left to the next heartbeat, in milliseconds. A larger
   * one is sent earlier, since differences of about 100 ms affect admission.
   */
  private static final int MAX_UNREPORTED_WAIT_CHANGE_MILLIS = 100;

  /**
   * Minimum duration of a shutdown in milliseconds, so that clients discover the addresses of other
   * instances before this one stops.
   */
  private static final long MIN_LEAVE_MILLIS = 3_000;

  /** Time in milliseconds for the last responses to be written before the instance stops. */
  private static final long LAST_RESPONSES_MILLIS = 100;

  /** Part of the permitted shutdown time that is reserved for the final steps, in milliseconds. */
  private static final long SHUTDOWN_MARGIN_MILLIS = 700;

  /** Interval at which a leaving instance checks whether it is drained, in milliseconds. */
  private static final long LEAVE_CHECK_INTERVAL_MILLIS = 50;

  /** Maximum wait for running threads when the instance is closed, in milliseconds. */
  private static final long THREAD_STOP_TIMEOUT_MILLIS = 100;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Minimum time that a task waits for the event loop to be logged, in milliseconds. */
  private static final long MIN_LOGGED_LAG_MILLIS = 200;

  /** Maximum share of the memory that holds bytes for clients and replicas. */
  private static final double HELD_SHARE = 0.25;

  private final PlatformSettings settings;
  private final EventLog log = EventLog.create(LOG_LINES_PER_SECOND);
  private final GatewayMetrics metrics = GatewayMetrics.create();
  private final EventLoop loop = EventLoop.start();
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
  private final RawClient client;
  private final StoreClient store;
  private final StreamHost host;
  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaPaces paces = ReplicaPaces.create(loop, log);
  private final ReplicaRegistry replicas;
  private final ColdReplicas coldReplicas = ColdReplicas.create();
  private final ReplicaRateLimits rateLimits;
  private final Evacuations evacuations = Evacuations.create();
  private final ReplicaAnnouncements announcements;
  private final BlockList blocks;
  private final CrashingRequestGuard crashes;
  private final EnginePlacement engines;
  private final PieceDispatcher pieces;
  private final RequestContext context;
  private final ClientHandler clients;
  private final StoreTables tables;
  private final BlockPublisher blockPublisher;
  private boolean statusUpdateScheduled;

  /** Whether requests with a body are rejected for lack of memory, as of the last tick. */
  private boolean rejectsBodies;

  /** Whether the announcement of this instance has been stored, as far as is known. */
  private boolean announced;

  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean leaving;
  private volatile boolean ready;
  private volatile StateSnapshot snapshot = StateSnapshot.NONE;

  /** Speeds of the replicas whose requests are placed here, in percent by identifier. */
  private volatile Map<String, Integer> replicaSpeeds = Map.of();

  /** Time that a task waited last for the event loop, in milliseconds. */
  private volatile long loopLagMillis;

  /** Configuration in force, or null before the first one. */
  private ServingState state;

  /** Offset in the store of the configuration in force, or -1 before the first one. */
  private long stateOffset = -1;

  private Gateway(PlatformSettings settings, long incarnation) {
    this.settings = settings;
    threads.setName("http");
    threads.setStopTimeout(THREAD_STOP_TIMEOUT_MILLIS);
    client =
        RawClient.start(settings.ipAddress(), threads, CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);
    store = StoreClient.create(client, settings.store());
    host = StreamHost.create(threads);
    Peer self =
        new Peer(
            settings.instance(),
            incarnation,
            settings.dataCentre(),
            settings.links(),
            settings.clients(),
            settings.capacity());
    peers = PeerTable.create(self, HubTopology.create());
    peerNetwork = PeerNetwork.create(peers, loop, log, settings.seeds(), new PeerEvents());
    replicas = ReplicaRegistry.create(paces.chosenAlone());
    ColdBound coldBound =
        new ColdBound(settings.bounds().coldRatio(), settings.bounds().coldAllowance());
    rateLimits = ReplicaRateLimits.create(this::decisionShare, coldReplicas, coldBound);
    announcements = ReplicaAnnouncements.create(replicas, rateLimits, peerNetwork, loop, log);
    announcements.onReplicasChanged(this::onAvailableReplicasChanged);
    blockPublisher = BlockPublisher.create(peerNetwork, store, loop, log);
    blocks = BlockList.create(System::currentTimeMillis, log, blockPublisher);
    crashes = CrashingRequestGuard.create(blocks, peerNetwork, loop, log);
    engines =
        new EnginePlacement(
            peers,
            peerNetwork,
            replicas,
            loop,
            blocks,
            log,
            settings.contended(),
            this::newEngineChooser);
    pieces =
        new PieceDispatcher(
            peers, peerNetwork, replicas, rateLimits, announcements, client, loop, log);
    pieces.onQueueWaitsChanged(this::scheduleStatusUpdate);
    context =
        RequestContext.create(
            loop,
            client,
            replicas,
            rateLimits,
            paces,
            announcements,
            engines,
            blocks,
            crashes,
            pieces,
            peers,
            settings.bounds(),
            settings.contended()
                ? Optional.of(ContendedServices.create(replicas, peers))
                : Optional.empty(),
            settings.contended() ? Optional.of(createHeldBytes(settings)) : Optional.empty(),
            log,
            metrics);
    clients = new ClientHandler(context);
    tables =
        StoreTables.create(
            store,
            peers,
            peerNetwork,
            loop,
            log,
            FewInstancesRead.create(),
            Map.of(
                TableName.CONFIGURATION, this::onConfiguration,
                TableName.REPLICAS, this::onReplicas,
                TableName.INSTANCES, this::onInstances));
  }

  /**
   * Starts an instance. It becomes ready once it has read a configuration.
   *
   * @param settings settings of the instance, not null
   * @return the instance, to be closed by the caller
   */
  public static Gateway start(PlatformSettings settings) {
    Gateway gateway = new Gateway(settings, System.currentTimeMillis());
    gateway.open();
    return gateway;
  }

  private static HeldBytes createHeldBytes(PlatformSettings settings) {
    long memoryBytes = Math.min(settings.memoryBytes(), Runtime.getRuntime().maxMemory());
    return HeldBytes.create(Math.max(1, (long) (HELD_SHARE * memoryBytes)));
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
          peerNetwork.start();
          tables.start();
          announce();
        });
  }

  private void registerGauges() {
    SnapshotGauges.register(metrics, () -> snapshot);
    metrics.gauge("arbutusspar_active_requests", "Requests that have not ended", clients::active);
    metrics.gauge(
        "arbutusspar_configuration_offset",
        "Offset of the configuration in force",
        () -> StorePosition.offset(stateOffset));
    context
        .contention()
        .ifPresent(
            contention ->
                metrics.gauges(
                    "arbutusspar_service_wait_milliseconds",
                    "Expected wait for a slot of a service whose replicas queue requests",
                    "service",
                    contention::waitsMillis));
    context
        .heldBytes()
        .ifPresent(
            held ->
                metrics.gauge(
                    "arbutusspar_held_bytes",
                    "Bytes of requests and responses that are held for clients and replicas",
                    held::bytes));
    metrics.gauges(
        "arbutusspar_replica_speed_percent",
        "Speed of each replica relative to its service, at the instance that places its requests",
        "replica",
        () -> replicaSpeeds);
    metrics.gauge(
        "arbutusspar_event_loop_lag_milliseconds",
        "Time that a task waited last for the event loop",
        () -> loopLagMillis);
    metrics.gauge(
        "arbutusspar_ready",
        "1 if the instance takes requests of clients",
        () -> ready && !leaving ? 1 : 0);
  }

  /**
   * Announces this instance again if the store has lost its announcement, as when it has returned
   * from a copy. The delay spreads the calls of all instances, and allows for a list that lags.
   */
  private void announceAgainIfLost(SharedTable instances) {
    if (!announced || instances.value(settings.instance()).isPresent()) {
      return;
    }
    announced = false;
    long spread = Math.floorMod(Rendezvous.hash(settings.instance()), MAX_ANNOUNCE_SPREAD_MILLIS);
    loop.after(
        MIN_ANNOUNCE_DELAY_MILLIS + spread,
        () -> {
          if (instances.value(settings.instance()).isPresent()) {
            announced = true;
          } else {
            log.write("announce-again", "offset", StorePosition.toText(instances.offset()));
            announce();
          }
        });
  }

  /** Writes this instance to the list of instances in the store, with retries until it leaves. */
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
                      announced = failure == null;
                      if (failure != null) {
                        log.write("announce-failed", "error", failure.getMessage());
                        loop.after(ANNOUNCE_RETRY_DELAY_MILLIS, this::announce);
                      }
                    }));
  }

  private void onConfiguration(TopicConsumer consumer, boolean changed) {
    if (changed) {
      applyEvacuations(consumer.table());
    }
    long offset = consumer.table().rowOffset(StoreClient.CONFIGURATION_KEY);
    if (offset > stateOffset) {
      apply(offset, consumer.table().value(StoreClient.CONFIGURATION_KEY).orElseThrow());
    }
    onTableRead(changed);
  }

  /** Applies the operators' records that evacuate data centres, of which some may have ended. */
  private void applyEvacuations(SharedTable records) {
    Map<DataCentre, Long> offsets = new HashMap<>();
    for (String key : records.values().keySet()) {
      Optional<DataCentre> dataCentre = EvacuationReader.read(key);
      dataCentre.ifPresent(name -> offsets.put(name, records.rowOffset(key)));
      if (dataCentre.isEmpty() && EvacuationReader.isEvacuation(key)) {
        log.write("evacuation-malformed", "key", key);
      }
    }
    Evacuations.Change change = evacuations.update(offsets.keySet(), loop.now());
    if (change.isEmpty()) {
      return;
    }
    replicas.evacuate(evacuations.inForce());
    change
        .begun()
        .forEach(name -> logEvacuation("evacuation", name, offsets.get(name), records.offset()));
    change.ended().forEach(name -> logEvacuation("evacuation-ended", name, -1, records.offset()));
    // Replicas there may have become cold shortly before, and say so only later.
    logColdReplicas(
        coldReplicas.assumeCold(replicas.listedIn(change.ended()), loop.now()), "evacuation");
    onAvailableReplicasChanged();
  }

  private void logEvacuation(String event, DataCentre dataCentre, long record, long offset) {
    log.write(
        event,
        "data_centre",
        dataCentre,
        "record",
        record < 0 ? "none" : StorePosition.toText(record),
        "offset",
        StorePosition.toText(offset),
        "source",
        tables.source(TableName.CONFIGURATION),
        "replicas",
        replicas.listedIn(Set.of(dataCentre)).size());
  }

  private void logColdReplicas(ColdReplicas.Change change, String source) {
    for (UpstreamReplica replica : change.cold()) {
      log.write(
          "replica-cold",
          "replica",
          replica.id(),
          "service",
          replica.service(),
          "listed_ms",
          replica.warmUpMillis(),
          "per_second",
          rateLimits.perSecond(replica).orElseThrow(),
          "source",
          source);
    }
    for (UpstreamReplica replica : change.warm()) {
      log.write("replica-warm", "replica", replica.id(), "service", replica.service());
    }
  }

  /** Tells the peers of a change at once if they rely on this instance to read the store. */
  private void onTableRead(boolean changed) {
    updateStatus();
    if (changed && tables.isReader()) {
      peerNetwork.sendStatus();
    }
  }

  /** Puts a configuration in force if it is well-formed and of a higher version. */
  private void apply(long offset, byte[] configuration) {
    stateOffset = offset;
    ServingState newState;
    try {
      newState = ConfigurationReader.read(configuration);
    } catch (IOException e) {
      metrics.onMalformedConfiguration();
      log.write(
          "configuration-malformed",
          "offset",
          StorePosition.toText(offset),
          "error",
          e.getMessage());
      return;
    }
    if (state != null && newState.version() <= state.version()) {
      return;
    }
    state = newState;
    host.maxHeaderBytes(newState.limits().headerBytes());
    host.headerTimeoutMillis(newState.limits().headerMillis());
    host.idleTimeoutMillis(newState.limits().idleMillis());
    logColdReplicas(coldReplicas.warmUps(warmUps(newState), loop.now()), "configuration");
    paces.onState(newState);
    pieces.onState(newState);
    clients.state(newState);
    ready = !leaving;
    log.write(
        "configuration",
        "version",
        newState.version(),
        "offset",
        StorePosition.toText(offset),
        "routes",
        newState.routes().routes().size(),
        "bytes",
        configuration.length,
        "source",
        tables.source(TableName.CONFIGURATION),
        "behind_ms",
        tables.behindMillis(TableName.CONFIGURATION));
  }

  private static Map<String, WarmUp> warmUps(ServingState configuration) {
    Map<String, WarmUp> warmUps = new HashMap<>();
    for (ServedService service : configuration.services().values()) {
      service.warmUp().ifPresent(warmUp -> warmUps.put(service.name(), warmUp));
    }
    return warmUps;
  }

  private void onReplicas(TopicConsumer consumer, boolean changed) {
    if (changed) {
      List<UpstreamReplica> newReplicas = new ArrayList<>();
      consumer
          .table()
          .values()
          .forEach((id, value) -> ReplicaReader.read(id, value).ifPresent(newReplicas::add));
      logReplicaChanges(newReplicas);
      replicas.replace(newReplicas);
      logColdReplicas(coldReplicas.onListed(newReplicas, loop.now()), "list");
      onAvailableReplicasChanged();
    }
    onTableRead(changed);
  }

  private void onAvailableReplicasChanged() {
    paces.onReplicas(replicas.notLeaving());
    engines.onReplicas();
    pieces.onReplicas();
  }

  private void logReplicaChanges(Collection<UpstreamReplica> newReplicas) {
    for (UpstreamReplica replica : newReplicas) {
      Optional<UpstreamReplica> previous = replicas.find(replica.id());
      if (previous.isEmpty() || !previous.get().equals(replica)) {
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
            StorePosition.toText(tables.table(TableName.REPLICAS).offset()));
      }
    }
    for (UpstreamReplica removed : replicas.missingFrom(newReplicas)) {
      log.write(
          "replica-gone",
          "replica",
          removed.id(),
          "offset",
          StorePosition.toText(tables.table(TableName.REPLICAS).offset()));
    }
  }

  private void onInstances(TopicConsumer consumer, boolean changed) {
    if (changed) {
      consumer.table().values().forEach(this::discover);
    }
    announceAgainIfLost(consumer.table());
    blockPublisher.publishLost(consumer.table());
    onTableRead(changed);
  }

  /** Handles a row of the list of instances, which also holds decisions on prompt parts. */
  private void discover(String name, byte[] value) {
    try {
      PeerMessage message = PeerCodec.decode(value, 0);
      if (message instanceof PeerMessage.Hello hello) {
        peerNetwork.discover(hello.self());
      } else if (message instanceof PeerMessage.Block block) {
        blocks.learn(block.decision(), "store");
      }
    } catch (IOException e) {
      log.write("instance-malformed", "key", name, "error", e.getMessage());
    }
  }

  /**
   * Returns the share of all known instances for whose requests this one chooses replicas of a
   * service, 0 if another instance holds that role, or if this one has just started and does not
   * know the others yet.
   */
  private double decisionShare(String service, long now) {
    if (tables.table(TableName.INSTANCES).offset() < 0) {
      return 0;
    }
    boolean hasPieces = state != null && state.pieceLimits(service).isPresent();
    String role = hasPieces ? service : EnginePlacement.role(service);
    if (!peers.roleHolder(role, now).equals(peers.self().name())) {
      return 0;
    }
    return (double) peers.liveCount(now) / (peers.all().size() + 1);
  }

  /**
   * Returns a chooser for a service, with a queue where callers compete for capacity unless the
   * service is known not to be a model engine.
   */
  private EngineChooser newEngineChooser(String service, ReplicaSpeeds speeds) {
    boolean plain = state != null && engineLimits(service).isEmpty();
    if (!settings.contended() || plain) {
      return EnginePlacer.create(rateLimits, paces.placed(), speeds);
    }
    EngineRoom room =
        EngineRoom.ofMemory(() -> engineLimits(service).map(EngineLimits::memoryTokens).orElse(0L));
    return EngineQueue.create(EnginePlacer.create(rateLimits, paces.placed(), speeds, room));
  }

  private Optional<EngineLimits> engineLimits(String service) {
    return Optional.ofNullable(state)
        .map(current -> current.services().get(service))
        .flatMap(ServedService::engine);
  }

  /** Copies the state of the loop for gauges, which are read by other threads. */
  private void updateSnapshot() {
    context.contention().ifPresent(contention -> contention.updateWaits(loop.now()));
    context.heldBytes().ifPresent(this::logHeldBytes);
    Map<String, Integer> waits = new HashMap<>();
    peers.ownStatus().waits().forEach((service, wait) -> waits.put(service, wait.millis(false)));
    snapshot =
        new StateSnapshot(
            state == null ? -1 : state.version(),
            replicas.countByState(loop.now()),
            waits,
            peers.liveCount(loop.now()),
            pieces.waitingPieces(),
            context.retriesLeft(),
            engines.choosers().waiting(),
            engines.choosers().expectedWaitMillis(),
            blocks.blockedParts(),
            blocks.blockedRequests(),
            rateLimits.inForce().size(),
            coldReplicas.count(),
            evacuatedSeconds(),
            paces.countByService(),
            tables.behindMillis(TableName.CONFIGURATION));
  }

  /** Logs when requests with a body begin or cease to be rejected for lack of memory. */
  private void logHeldBytes(HeldBytes held) {
    if (held.permitsBody() == rejectsBodies) {
      rejectsBodies = !held.permitsBody();
      log.write(
          "held-bytes",
          "bytes",
          held.bytes(),
          "max",
          held.maxBytes(),
          "rejects_bodies",
          rejectsBodies);
    }
  }

  private Map<String, Integer> evacuatedSeconds() {
    Map<String, Integer> seconds = new HashMap<>();
    evacuations
        .begunAt()
        .forEach(
            (dataCentre, begunAt) ->
                seconds.put(
                    dataCentre.value(),
                    (int) (Nanos.toMillis(loop.now() - begunAt) / MILLIS_PER_SECOND)));
    return seconds;
  }

  /** Measures how long a task waits for the event loop, and logs it if the wait is long. */
  private void measureLoopLag() {
    long postedAt = loop.now();
    loop.post(
        () -> {
          loopLagMillis = (long) Nanos.toMillis(loop.now() - postedAt);
          if (loopLagMillis >= MIN_LOGGED_LAG_MILLIS) {
            log.write("loop-lag", "ms", loopLagMillis);
          }
        });
  }

  /** Updates the own status, and sends it at once if the instance became ready or leaving. */
  private void updateStatus() {
    Set<String> roles = new HashSet<>(pieces.activeRoles());
    roles.addAll(engines.activeRoles());
    PeerStatus status =
        new PeerStatus(
            ready,
            leaving,
            peers.heartbeatMillis(loop.now()),
            tables.view(),
            pieces.queueWaits(),
            roles);
    PeerStatus previous = peers.ownStatus();
    peers.ownStatus(status);
    if (previous.ready() != status.ready() || previous.leaving() != status.leaving()) {
      peerNetwork.sendStatus();
    }
  }

  /** Schedules a status update with the queue waits, which change faster than heartbeats follow. */
  private void scheduleStatusUpdate() {
    if (statusUpdateScheduled) {
      return;
    }
    statusUpdateScheduled = true;
    long delayMillis =
        STATUS_UPDATE_DELAY_MILLIS + STATUS_UPDATE_DELAY_MILLIS_PER_PEER * peers.all().size();
    loop.after(delayMillis, this::sendChangedWaits);
  }

  /** Sends the own status to the peers if a queue wait has changed enough. */
  private void sendChangedWaits() {
    statusUpdateScheduled = false;
    Map<String, QueueWait> previous = peers.ownStatus().waits();
    updateStatus();
    Map<String, QueueWait> current = peers.ownStatus().waits();
    boolean changed =
        current.entrySet().stream()
            .anyMatch(
                entry ->
                    previous
                        .getOrDefault(entry.getKey(), QueueWait.NONE)
                        .differs(entry.getValue(), MAX_UNREPORTED_WAIT_CHANGE_MILLIS));
    if (changed) {
      peerNetwork.sendStatus();
    }
  }

  /**
   * Starts the graceful shutdown. The instance advertises that it is leaving, still serves the
   * requests that it receives, and stops when no request is in progress or the permitted shutdown
   * time is over. Further calls have no effect.
   *
   * @param signal name of the signal or other cause, which is logged, not null
   */
  public void leave(String signal) {
    if (leaving) {
      return;
    }
    leaving = true;
    log.write("stop", "signal", signal, "active", clients.active());
    long startedAt = loop.now();
    clients.leave(ShutdownAdmission.of(startedAt, startedAt + Nanos.ofMillis(maxLeaveMillis())));
    loop.post(
        () -> {
          updateStatus();
          store.append(StoreClient.INSTANCES_TOPIC, settings.instance(), Optional.empty());
          awaitDrained(startedAt);
        });
  }

  /** Stops the instance if it is drained or out of time; otherwise checks again later. */
  private void awaitDrained(long startedAt) {
    long elapsedMillis = (long) Nanos.toMillis(loop.now() - startedAt);
    long maxMillis = maxLeaveMillis();
    boolean idle = clients.active() == 0 && pieces.isIdle();
    if (elapsedMillis >= maxMillis) {
      clients.rejectNew();
      clients.rejectUnsent();
      loop.after(LAST_RESPONSES_MILLIS, () -> stop(elapsedMillis));
    } else if (idle && elapsedMillis >= Math.min(MIN_LEAVE_MILLIS, maxMillis)) {
      if (clients.rejectNew()) {
        loop.after(LAST_RESPONSES_MILLIS, () -> awaitDrained(startedAt));
      } else {
        stop(elapsedMillis);
      }
    } else {
      loop.after(LEAVE_CHECK_INTERVAL_MILLIS, () -> awaitDrained(startedAt));
    }
  }

  /** Returns the time after which the instance stops although requests are in progress. */
  private long maxLeaveMillis() {
    return Math.max(0, settings.bounds().shutdownMillis() - SHUTDOWN_MARGIN_MILLIS);
  }

  private void stop(long elapsedMillis) {
    log.write("stopped", "active", clients.active(), "elapsed_ms", elapsedMillis);
    tables.stop();
    stopped.countDown();
  }

  /** Returns the number of pieces queued at this instance. Blocks until the loop has run. */
  int waitingPieces() {
    return CompletableFuture.supplyAsync(pieces::waitingPieces, loop::post).join();
  }

  /** Returns the metrics in the Prometheus text format. */
  byte[] metrics() {
    return metrics.text();
  }

  /**
   * Waits until the graceful shutdown is complete.
   *
   * @throws InterruptedException if the wait is interrupted
   */
  public void await() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    peerNetwork.close();
    host.close();
    client.close();
    loop.close();
  }

  /** Handles messages from peers and state changes of their connections. */
  private final class PeerEvents implements PeerNetwork.Listener {
    @Override
    public void onMessage(String name, PeerMessage message) {
      if (message instanceof PeerMessage.Block block) {
        blocks.learn(block.decision(), name);
      }
      crashes.onMessage(message);
      announcements.onMessage(name, message);
      tables.onMessage(name, message);
      engines.onMessage(name, message);
      pieces.onMessage(name, message);
    }

    @Override
    public void onHeartbeat(String name) {
      tables.onHeartbeat(name);
    }

    @Override
    public void onUp(String name) {
      announcements.onUp(name);
      crashes.onUp(name);
    }

    @Override
    public void onDown(String name) {
      tables.updateRole();
      engines.onDown(name);
      pieces.onDown(name);
    }

    @Override
    public void onTick() {
      tables.updateRole();
      updateStatus();
      logColdReplicas(coldReplicas.update(loop.now()), "time");
      updateSnapshot();
      replicaSpeeds = engines.speedPercents();
      engines.logSpeeds();
      measureLoopLag();
    }
  }
}

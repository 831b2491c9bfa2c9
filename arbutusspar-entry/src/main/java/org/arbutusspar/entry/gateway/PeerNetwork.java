package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerState;
import org.arbutusspar.core.peer.PeerStateReport;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.FrameConnection;
import org.arbutusspar.io.link.FrameHandler;
import org.arbutusspar.io.link.FrameNetwork;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Connections to the peers, over which heartbeats and other messages are sent. An instance dials
 * the hubs. Of two hubs, the one whose name sorts first dials, and the other one only if there is
 * still no connection after {@link #TICKS_BEFORE_DIAL} ticks. Hubs report the states of the
 * instances that are connected to them.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class PeerNetwork implements AutoCloseable {

  /** Interval of the checks of connections, in milliseconds. */
  static final long TICK_INTERVAL_MILLIS = 400;

  /** Time without a heartbeat after which a hub is no longer live, in milliseconds. */
  static final long HUB_LIVENESS_TIMEOUT_MILLIS = 1_000;

  /** Time after which an attempt to connect has failed, in milliseconds. */
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Number of ticks without a connection that the hub whose name sorts last waits through. */
  private static final int TICKS_BEFORE_DIAL = 3;

  /**
   * Number of ticks after which a connection to a peer that should not be a hub any more is closed.
   */
  private static final int TICKS_BEFORE_CLOSE = 12;

  /** Tolerance by which a heartbeat may be sent early, in milliseconds. */
  private static final long TICK_SLACK_MILLIS = 50;

  /** Reason of closing a connection to a peer that is no longer a hub. */
  private static final String UNNEEDED = "no longer a hub";

  private final PeerTable table;
  private final EventLoop loop;
  private final EventLog log;
  private final Listener listener;
  private final List<Endpoint> seeds;
  private final Map<String, FrameConnection> connections = new HashMap<>();
  private final Map<FrameConnection, String> peerNames = new HashMap<>();

  /** Name of the dialed peer, by endpoint; the empty string for a seed. */
  private final Map<Endpoint, String> dialing = new HashMap<>();

  private final Map<String, Integer> ticksWithoutConnection = new HashMap<>();
  private final Map<String, Integer> ticksUnneeded = new HashMap<>();
  private final PeerStateReport report = PeerStateReport.create();
  private boolean reporting;
  private long lastHeartbeat;
  private long announcedMillis;
  private FrameNetwork network;

  private PeerNetwork(
      PeerTable table, EventLoop loop, EventLog log, List<Endpoint> seeds, Listener listener) {
    this.table = table;
    this.loop = loop;
    this.log = log;
    this.seeds = seeds;
    this.listener = listener;
  }

  /**
   * Returns a network that is not started.
   *
   * @param table holds the known peers and their statuses, not null
   * @param loop runs all work of the network, not null
   * @param log receives the state changes of connections, not null
   * @param seeds endpoints to dial first, by which further peers are discovered, not null
   * @param listener receives messages and state changes on the loop, not null
   * @return the network
   */
  static PeerNetwork create(
      PeerTable table, EventLoop loop, EventLog log, List<Endpoint> seeds, Listener listener) {
    return new PeerNetwork(table, loop, log, seeds, listener);
  }

  /** Listens for connections, dials the seeds and starts the heartbeats. */
  void start() {
    network = FrameNetwork.start(table.self().links(), new Handler());
    seeds.stream()
        .filter(seed -> !seed.equals(table.self().links()))
        .forEach(seed -> dial(seed, ""));
    lastHeartbeat = loop.now();
    loop.after(TICK_INTERVAL_MILLIS, this::tick);
  }

  private void tick() {
    long now = loop.now();
    connections.forEach(
        (name, connection) -> table.onReceived(name, connection.lastReceivedNanos()));
    for (String name : List.copyOf(connections.keySet())) {
      if (!table.isLive(name, now)) {
        connections.get(name).close("silent");
      }
    }
    List<Peer> targets = table.linkTargets(now);
    targets.forEach(this::dialIfDue);
    closeUnneeded(Set.copyOf(PeerTable.names(targets)));
    reportStates(now);
    listener.onTick();
    // The peers expect the interval of the last heartbeat until they receive another one.
    long intervalMillis = Math.min(announcedMillis, table.ownStatus().heartbeatMillis());
    if (now - lastHeartbeat > Nanos.ofMillis(intervalMillis - TICK_SLACK_MILLIS)) {
      sendStatus();
    }
    loop.after(TICK_INTERVAL_MILLIS, this::tick);
  }

  private void dialIfDue(Peer peer) {
    if (connections.containsKey(peer.name())) {
      ticksWithoutConnection.remove(peer.name());
      return;
    }
    int ticks = ticksWithoutConnection.merge(peer.name(), 1, Integer::sum);
    if (dialsFirst(peer) || ticks > TICKS_BEFORE_DIAL) {
      dial(peer.links(), peer.name());
    }
  }

  /** Returns whether this instance dials a peer at once, rather than waiting for the peer. */
  private boolean dialsFirst(Peer peer) {
    return !table.isHub(loop.now()) || table.self().name().compareTo(peer.name()) < 0;
  }

  /** Closes the connections that this instance opened to peers that are no longer hubs. */
  private void closeUnneeded(Set<String> targets) {
    ticksUnneeded
        .keySet()
        .removeIf(name -> targets.contains(name) || !connections.containsKey(name));
    connections.forEach(
        (name, connection) -> {
          if (connection.isOutgoing()
              && !targets.contains(name)
              && ticksUnneeded.merge(name, 1, Integer::sum) > TICKS_BEFORE_CLOSE) {
            connection.close(UNNEEDED);
          }
        });
  }

  /** Sends the states of peers that have changed since the last tick, if this instance is a hub. */
  private void reportStates(long now) {
    boolean wasReporting = reporting;
    reporting |= reportsStates(now);
    List<PeerState> changed = report.update(table.states(now));
    List<PeerState> unreported = wasReporting ? changed : report.all();
    if (reporting && !unreported.isEmpty()) {
      sendToAll(new PeerMessage.States(unreported));
    }
  }

  /**
   * Returns whether instances are connected to this one that have no connection to each other, so
   * that it passes on what they announce.
   */
  boolean isRelay() {
    return reportsStates(loop.now());
  }

  /**
   * Returns whether other instances have selected this one as a hub: it has more connections than
   * it needs itself. From then on it reports for as long as it runs, since the receivers keep the
   * last state.
   */
  private boolean reportsStates(long now) {
    return connections.size() > table.hubs(now).size();
  }

  /**
   * Adds a peer that was discovered, and dials it if it is a hub.
   *
   * @param peer the peer, not null
   */
  void discover(Peer peer) {
    if (table.discover(peer)) {
      log.write(
          "fellow-learned",
          "fellow",
          peer.name(),
          "incarnation",
          peer.incarnation(),
          "links",
          peer.links());
      boolean isTarget = table.linkTargets(loop.now()).contains(peer);
      if (isTarget && dialsFirst(peer) && !connections.containsKey(peer.name())) {
        dial(peer.links(), peer.name());
      }
    }
  }

  private void dial(Endpoint endpoint, String name) {
    if (dialing.putIfAbsent(endpoint, name) == null) {
      network.connect(endpoint);
      loop.after(CONNECT_TIMEOUT_MILLIS, () -> network.cancelConnect(endpoint));
    }
  }

  /** Sends the own status to all peers at once, ahead of the next heartbeat. */
  void sendStatus() {
    lastHeartbeat = loop.now();
    announcedMillis = table.ownStatus().heartbeatMillis();
    sendToAll(new PeerMessage.Heartbeat(table.ownStatus()));
  }

  /**
   * Sends a message to all connected peers.
   *
   * @param message the message, not null
   */
  void sendToAll(PeerMessage message) {
    network.send(connections.values(), PeerCodec.encode(message, loop.now()));
  }

  /**
   * Sends a message to a peer.
   *
   * @param name name of the peer, not null
   * @param message the message, not null
   * @return whether there is a connection to the peer; if not, nothing is sent
   */
  boolean send(String name, PeerMessage message) {
    return connections.containsKey(name) && send(name, PeerCodec.encode(message, loop.now()));
  }

  /**
   * Sends an encoded message to a peer.
   *
   * @param name name of the peer, not null
   * @param body the message as {@link PeerCodec} encodes it, not null; not to be modified
   * @return whether there is a connection to the peer; if not, nothing is sent
   */
  boolean send(String name, byte[] body) {
    FrameConnection connection = connections.get(name);
    if (connection != null) {
      connection.send(body);
    }
    return connection != null;
  }

  private void onOpen(FrameConnection connection) {
    dialing.remove(connection.peer());
    PeerMessage hello = new PeerMessage.Hello(table.self(), table.all());
    connection.send(PeerCodec.encode(hello, loop.now()));
    connection.send(PeerCodec.encode(new PeerMessage.Heartbeat(table.ownStatus()), loop.now()));
    if (reporting) {
      connection.send(PeerCodec.encode(new PeerMessage.States(report.all()), loop.now()));
    }
  }

  private void onFrame(FrameConnection connection, byte[] body) {
    PeerMessage message;
    try {
      message = PeerCodec.decode(body, loop.now());
    } catch (IOException e) {
      log.write("link-malformed", "peer", connection.peer(), "error", e.getMessage());
      connection.close("malformed message");
      return;
    }
    if (message instanceof PeerMessage.Hello hello) {
      onHello(connection, hello);
      return;
    }
    String name = peerNames.get(connection);
    if (name == null) {
      connection.close("message before hello");
    } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
      onHeartbeat(name, heartbeat.status());
    } else if (message instanceof PeerMessage.States states) {
      table.onReport(name, states.states());
    } else {
      listener.onMessage(name, message);
    }
  }

  private void onHello(FrameConnection connection, PeerMessage.Hello hello) {
    Peer peer = hello.self();
    if (peer.name().equals(table.self().name())) {
      connection.close("peer has the name of this instance");
      return;
    }
    discover(peer);
    hello.known().forEach(this::discover);
    peerNames.put(connection, peer.name());
    connections.put(peer.name(), connection);
    table.onHeartbeat(peer.name(), PeerStatus.UNKNOWN, loop.now());
    log.write("fellow-up", "fellow", peer.name(), "incarnation", peer.incarnation());
    listener.onUp(peer.name());
  }

  private void onHeartbeat(String name, PeerStatus status) {
    table.onHeartbeat(name, status, loop.now());
    listener.onHeartbeat(name);
  }

  private void onClosed(FrameConnection connection, String reason) {
    String name = peerNames.remove(connection);
    if (name != null && connections.remove(name, connection)) {
      table.onDown(name, !reason.equals(UNNEEDED), loop.now());
      log.write("fellow-down", "fellow", name, "reason", reason);
      listener.onDown(name);
    }
  }

  private void onDialFailed(Endpoint endpoint) {
    String name = dialing.remove(endpoint);
    if (name != null && !connections.containsKey(name)) {
      table.onUnreachable(name, loop.now());
    }
  }

  @Override
  public void close() {
    if (network != null) {
      network.close();
    }
  }

  /** Receives messages from peers and state changes of their connections, on the event loop. */
  interface Listener {

    /**
     * Called when a message other than a hello or a heartbeat has been received.
     *
     * @param name name of the sender
     * @param message the message
     */
    void onMessage(String name, PeerMessage message);

    /**
     * Called when a heartbeat has been received.
     *
     * @param name name of the sender
     */
    void onHeartbeat(String name);

    /**
     * Called when a peer has connected and messages can be sent to it.
     *
     * @param name name of the peer
     */
    void onUp(String name);

    /**
     * Called when the connection to a peer has been closed.
     *
     * @param name name of the peer
     */
    void onDown(String name);

    /** Called at a regular interval, before a heartbeat is sent. */
    void onTick();
  }

  /** Posts the events of the network's thread to the event loop. */
  private final class Handler implements FrameHandler {
    @Override
    public void onOpen(FrameConnection connection) {
      loop.post(() -> PeerNetwork.this.onOpen(connection));
    }

    @Override
    public void onFrame(FrameConnection connection, byte[] body) {
      loop.post(() -> PeerNetwork.this.onFrame(connection, body));
    }

    @Override
    public void onClosed(FrameConnection connection, String reason) {
      loop.post(() -> PeerNetwork.this.onClosed(connection, reason));
    }

    @Override
    public void onFailed(Endpoint peer, String reason) {
      loop.post(() -> onDialFailed(peer));
    }
  }
}

package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.FrameConnection;
import org.arbutusspar.io.link.FrameHandler;
import org.arbutusspar.io.link.FrameNetwork;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Connections to the peers, one to each known peer, over which heartbeats and other messages are
 * sent. Of two instances, the one whose name sorts first dials. The other one dials only if there
 * is still no connection after {@link #HEARTBEATS_BEFORE_DIAL} heartbeats.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class PeerNetwork implements AutoCloseable {

  /** Interval of the heartbeats, in milliseconds. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /** Time without a heartbeat after which a peer is no longer live, in milliseconds. */
  static final long LIVENESS_TIMEOUT_MILLIS = 1_000;

  /**
   * Number of heartbeats without a connection that the instance whose name sorts last waits through
   * before it dials.
   */
  private static final int HEARTBEATS_BEFORE_DIAL = 3;

  private final PeerTable table;
  private final EventLoop loop;
  private final EventLog log;
  private final Listener listener;
  private final List<Endpoint> seeds;
  private final Map<String, FrameConnection> connections = new HashMap<>();
  private final Map<FrameConnection, String> peerNames = new HashMap<>();
  private final Set<Endpoint> dialing = new HashSet<>();
  private final Map<String, Integer> heartbeatsWithoutConnection = new HashMap<>();
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
    seeds.stream().filter(seed -> !seed.equals(table.self().links())).forEach(this::dial);
    loop.after(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    long now = loop.now();
    sendToAll(new PeerMessage.Heartbeat(table.ownStatus()));
    for (Peer peer : table.all()) {
      if (connections.containsKey(peer.name())) {
        heartbeatsWithoutConnection.remove(peer.name());
        closeIfTimedOut(peer, now);
        continue;
      }
      int unconnectedCount = heartbeatsWithoutConnection.merge(peer.name(), 1, Integer::sum);
      boolean dialsFirst = table.self().name().compareTo(peer.name()) < 0;
      if (dialsFirst || unconnectedCount > HEARTBEATS_BEFORE_DIAL) {
        dial(peer.links());
      }
    }
    listener.onHeartbeatSent();
    loop.after(HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeat);
  }

  private void closeIfTimedOut(Peer peer, long now) {
    if (!table.isLive(peer.name(), now)) {
      connections.get(peer.name()).close("silent");
    }
  }

  /**
   * Adds a peer that was discovered, and dials it if its name sorts after that of this instance.
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
      boolean dialsFirst = table.self().name().compareTo(peer.name()) < 0;
      if (dialsFirst && !connections.containsKey(peer.name())) {
        dial(peer.links());
      }
    }
  }

  private void dial(Endpoint endpoint) {
    if (dialing.add(endpoint)) {
      network.connect(endpoint);
    }
  }

  /** Sends the own status to all peers at once, ahead of the next heartbeat. */
  void sendStatus() {
    sendToAll(new PeerMessage.Heartbeat(table.ownStatus()));
  }

  private void sendToAll(PeerMessage message) {
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
  }

  private void onHeartbeat(String name, PeerStatus status) {
    table.onHeartbeat(name, status, loop.now());
    listener.onHeartbeat(name);
  }

  private void onClosed(FrameConnection connection, String reason) {
    String name = peerNames.remove(connection);
    if (name != null && connections.remove(name, connection)) {
      table.onDown(name);
      log.write("fellow-down", "fellow", name, "reason", reason);
      listener.onDown(name);
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
     * Called when the connection to a peer has been closed.
     *
     * @param name name of the peer
     */
    void onDown(String name);

    /** Called after each heartbeat that this instance has sent at the regular interval. */
    void onHeartbeatSent();
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
      loop.post(() -> dialing.remove(peer));
    }
  }
}

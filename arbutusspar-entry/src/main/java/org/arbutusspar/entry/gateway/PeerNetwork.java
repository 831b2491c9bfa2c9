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
 * Connections to the other instances: one to each that is known, opened by the instance whose name
 * comes first, or by the other one if none is open after a while. Runs on the loop.
 */
final class PeerNetwork implements AutoCloseable {

  /** How often an instance tells the others that it lives. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /** An instance that has been silent for this long does not count as live. */
  static final long LIVENESS_TIMEOUT_MILLIS = 1_000;

  /** An instance whose name comes later dials after this many beats without a connection. */
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

  static PeerNetwork create(
      PeerTable table, EventLoop loop, EventLog log, List<Endpoint> seeds, Listener listener) {
    return new PeerNetwork(table, loop, log, seeds, listener);
  }

  /** Starts to listen and to dial. */
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
      int missed = heartbeatsWithoutConnection.merge(peer.name(), 1, Integer::sum);
      boolean dialsFirst = table.self().name().compareTo(peer.name()) < 0;
      if (dialsFirst || missed > HEARTBEATS_BEFORE_DIAL) {
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

  /** Learns of an instance. */
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

  /** Tells the others at once that the own state has changed. */
  void sendStatus() {
    sendToAll(new PeerMessage.Heartbeat(table.ownStatus()));
  }

  private void sendToAll(PeerMessage message) {
    byte[] body = PeerCodec.encode(message, loop.now());
    connections.values().forEach(connection -> connection.send(body));
  }

  /**
   * Sends a message.
   *
   * @param name the instance, not null
   * @param message the message, not null
   * @return whether there is a connection to the instance
   */
  boolean send(String name, PeerMessage message) {
    FrameConnection connection = connections.get(name);
    if (connection == null) {
      return false;
    }
    connection.send(PeerCodec.encode(message, loop.now()));
    return true;
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
      connection.close("no introduction");
    } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
      onHeartbeat(name, heartbeat.status());
    } else {
      listener.onMessage(name, message);
    }
  }

  private void onHello(FrameConnection connection, PeerMessage.Hello hello) {
    Peer peer = hello.self();
    if (peer.name().equals(table.self().name())) {
      connection.close("own name");
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

  /** Told of what other instances say. */
  interface Listener {

    /**
     * A message other than a sign of life arrived.
     *
     * @param name the sender
     * @param message the message
     */
    void onMessage(String name, PeerMessage message);

    /**
     * A sign of life arrived.
     *
     * @param name the sender
     */
    void onHeartbeat(String name);

    /**
     * The connection to an instance has ended.
     *
     * @param name the instance
     */
    void onDown(String name);

    /** A beat has been sent. */
    void onHeartbeatSent();
  }

  /** Passes what happens on the network's thread on to the loop. */
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

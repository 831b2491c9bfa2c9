package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.StoreView;
import org.arbutusspar.core.peer.TableName;
import org.arbutusspar.core.peer.TableVersion;
import org.arbutusspar.io.link.FrameConnection;
import org.arbutusspar.io.link.FrameHandler;
import org.arbutusspar.io.link.FrameNetwork;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;

/**
 * An instance on a large machine that reads the store and announces its versions in heartbeats, but
 * does not respond to requests for rows or placements, like one whose link or event loop is
 * overloaded.
 */
final class FakePeer implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 200;

  /** Capacity above that of the tested instances, in percent of a core. */
  private static final int CAPACITY = 800;

  private final Peer self;
  private final FrameNetwork network;
  private final Set<FrameConnection> connections = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger requests = new AtomicInteger();
  private final List<PeerMessage> placements = new CopyOnWriteArrayList<>();
  private volatile Set<String> roles = Set.of();
  private volatile boolean answersWithWait;
  private volatile TableVersion configuration = TableVersion.NONE;

  private FakePeer(String name, Endpoint links) {
    self = new Peer(name, 1, DataCentre.of("a"), links, links, CAPACITY);
    network = FrameNetwork.start(links, new Handler());
    timer.scheduleAtFixedRate(
        () -> connections.forEach(this::sendHeartbeat),
        HEARTBEAT_MILLIS,
        HEARTBEAT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Starts a peer that accepts links at an endpoint. */
  static FakePeer start(String name, Endpoint links) {
    return new FakePeer(name, links);
  }

  Endpoint links() {
    return self.links();
  }

  /** Sets the offset after the last change of the configuration that it announces. */
  void announceConfiguration(long changeOffset) {
    configuration = new TableVersion(changeOffset, changeOffset);
  }

  /** Sets the roles that it announces. */
  void announceRoles(Set<String> held) {
    roles = held;
  }

  /** Sets whether it responds to requests for a placement that they wait, or not at all. */
  void answerWithWait(boolean waits) {
    answersWithWait = waits;
  }

  /** Sends a message to all connected instances. */
  void sendToAll(PeerMessage message) {
    connections.forEach(connection -> send(connection, message));
  }

  /** Closes the connections of all instances, which may connect again. */
  void dropLinks() {
    connections.forEach(connection -> connection.close("cut off"));
  }

  /** Returns whether an instance is connected. */
  boolean isConnected() {
    return !connections.isEmpty();
  }

  /** Returns the requests to place a request and the updates on placements, in order. */
  List<PeerMessage> placements() {
    return placements;
  }

  /** Returns the number of requests for rows of the configuration. */
  int requests() {
    return requests.get();
  }

  private void sendHeartbeat(FrameConnection connection) {
    StoreView view = new StoreView(false, 0, Map.of(TableName.CONFIGURATION, configuration));
    PeerStatus status = new PeerStatus(true, false, HEARTBEAT_MILLIS, view, Map.of(), roles);
    send(connection, new PeerMessage.Heartbeat(status));
  }

  private static void send(FrameConnection connection, PeerMessage message) {
    connection.send(PeerCodec.encode(message, System.nanoTime()));
  }

  private void record(FrameConnection connection, byte[] body) {
    try {
      PeerMessage message = PeerCodec.decode(body, System.nanoTime());
      if (message instanceof PeerMessage.TableRequest request
          && request.table() == TableName.CONFIGURATION) {
        requests.incrementAndGet();
      } else if (message instanceof PeerMessage.PlaceRequest
          || message instanceof PeerMessage.PlacementUpdate) {
        placements.add(message);
      }
      if (answersWithWait && message instanceof PeerMessage.PlaceRequest request) {
        send(connection, new PeerMessage.PlaceResponse(request.request().id(), "", true, 500));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    network.close();
  }

  private final class Handler implements FrameHandler {
    @Override
    public void onOpen(FrameConnection connection) {
      send(connection, new PeerMessage.Hello(self, List.of()));
      connections.add(connection);
    }

    @Override
    public void onFrame(FrameConnection connection, byte[] body) {
      record(connection, body);
    }

    @Override
    public void onClosed(FrameConnection connection, String reason) {
      connections.remove(connection);
    }

    @Override
    public void onFailed(Endpoint peer, String reason) {
      // It opens no connections.
    }
  }
}

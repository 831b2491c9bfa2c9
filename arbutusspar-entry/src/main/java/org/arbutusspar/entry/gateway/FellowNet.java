package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.peer.Beat;
import org.arbutusspar.core.peer.Fellow;
import org.arbutusspar.core.peer.FellowTable;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.FellowCodec;
import org.arbutusspar.io.link.FellowMessage;
import org.arbutusspar.io.link.FrameConnection;
import org.arbutusspar.io.link.FrameHandler;
import org.arbutusspar.io.link.FrameNetwork;

/**
 * Connections to the other instances: one to each that is known, opened by the instance whose name
 * comes first, or by the other one if none is open after a while. Runs on the loop.
 */
final class FellowNet implements AutoCloseable {

  /** How often an instance tells the others that it lives. */
  static final long BEAT_MILLIS = 400;

  /** An instance that has been silent for this long does not count as live. */
  static final long SILENCE_MILLIS = 1_000;

  /** An instance whose name comes later dials after this many beats without a connection. */
  private static final int PATIENT_BEATS = 3;

  private final FellowTable table;
  private final DeadlineLoop loop;
  private final EventLog log;
  private final Listener listener;
  private final List<Endpoint> seeds;
  private final Map<String, FrameConnection> byName = new HashMap<>();
  private final Map<FrameConnection, String> names = new HashMap<>();
  private final Set<Endpoint> dialing = new HashSet<>();
  private final Map<String, Integer> beatsAlone = new HashMap<>();
  private FrameNetwork network;

  private FellowNet(
      FellowTable table, DeadlineLoop loop, EventLog log, List<Endpoint> seeds, Listener listener) {
    this.table = table;
    this.loop = loop;
    this.log = log;
    this.seeds = seeds;
    this.listener = listener;
  }

  static FellowNet create(
      FellowTable table, DeadlineLoop loop, EventLog log, List<Endpoint> seeds, Listener listener) {
    return new FellowNet(table, loop, log, seeds, listener);
  }

  /** Starts to listen and to dial. */
  void start() {
    network = FrameNetwork.start(table.self().links(), new Handler());
    seeds.stream().filter(seed -> !seed.equals(table.self().links())).forEach(this::dial);
    loop.after(BEAT_MILLIS, this::beat);
  }

  private void beat() {
    long now = loop.now();
    sendToAll(new FellowMessage.Alive(table.own()));
    for (Fellow fellow : table.all()) {
      if (byName.containsKey(fellow.name())) {
        beatsAlone.remove(fellow.name());
        closeIfSilent(fellow, now);
        continue;
      }
      int alone = beatsAlone.merge(fellow.name(), 1, Integer::sum);
      boolean first = table.self().name().compareTo(fellow.name()) < 0;
      if (first || alone > PATIENT_BEATS) {
        dial(fellow.links());
      }
    }
    listener.onBeat();
    loop.after(BEAT_MILLIS, this::beat);
  }

  private void closeIfSilent(Fellow fellow, long now) {
    if (!table.isLive(fellow.name(), now)) {
      byName.get(fellow.name()).close("silent");
    }
  }

  /** Learns of an instance. */
  void learn(Fellow fellow) {
    if (table.learn(fellow)) {
      log.write(
          "fellow-learned",
          "fellow",
          fellow.name(),
          "incarnation",
          fellow.incarnation(),
          "links",
          fellow.links());
      boolean first = table.self().name().compareTo(fellow.name()) < 0;
      if (first && !byName.containsKey(fellow.name())) {
        dial(fellow.links());
      }
    }
  }

  private void dial(Endpoint endpoint) {
    if (dialing.add(endpoint)) {
      network.connect(endpoint);
    }
  }

  /** Tells the others at once that the own state has changed. */
  void announce() {
    sendToAll(new FellowMessage.Alive(table.own()));
  }

  private void sendToAll(FellowMessage message) {
    byte[] body = FellowCodec.encode(message, loop.now());
    byName.values().forEach(connection -> connection.send(body));
  }

  /**
   * Sends a message.
   *
   * @param name the instance, not null
   * @param message the message, not null
   * @return whether there is a connection to the instance
   */
  boolean send(String name, FellowMessage message) {
    FrameConnection connection = byName.get(name);
    if (connection == null) {
      return false;
    }
    connection.send(FellowCodec.encode(message, loop.now()));
    return true;
  }

  private void onOpen(FrameConnection connection) {
    dialing.remove(connection.peer());
    FellowMessage hello = new FellowMessage.Hello(table.self(), table.all());
    connection.send(FellowCodec.encode(hello, loop.now()));
    connection.send(FellowCodec.encode(new FellowMessage.Alive(table.own()), loop.now()));
  }

  private void onFrame(FrameConnection connection, byte[] body) {
    FellowMessage message;
    try {
      message = FellowCodec.decode(body, loop.now());
    } catch (IOException e) {
      log.write("link-malformed", "peer", connection.peer(), "error", e.getMessage());
      connection.close("malformed message");
      return;
    }
    if (message instanceof FellowMessage.Hello hello) {
      onHello(connection, hello);
      return;
    }
    String name = names.get(connection);
    if (name == null) {
      connection.close("no introduction");
    } else if (message instanceof FellowMessage.Alive alive) {
      onAlive(name, alive.beat());
    } else {
      listener.onMessage(name, message);
    }
  }

  private void onHello(FrameConnection connection, FellowMessage.Hello hello) {
    Fellow fellow = hello.self();
    if (fellow.name().equals(table.self().name())) {
      connection.close("own name");
      return;
    }
    learn(fellow);
    hello.known().forEach(this::learn);
    names.put(connection, fellow.name());
    byName.put(fellow.name(), connection);
    table.onBeat(fellow.name(), Beat.UNKNOWN, loop.now());
    log.write("fellow-up", "fellow", fellow.name(), "incarnation", fellow.incarnation());
  }

  private void onAlive(String name, Beat beat) {
    table.onBeat(name, beat, loop.now());
    listener.onAlive(name);
  }

  private void onClosed(FrameConnection connection, String reason) {
    String name = names.remove(connection);
    if (name != null && byName.remove(name, connection)) {
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
    void onMessage(String name, FellowMessage message);

    /**
     * A sign of life arrived.
     *
     * @param name the sender
     */
    void onAlive(String name);

    /**
     * The connection to an instance has ended.
     *
     * @param name the instance
     */
    void onDown(String name);

    /** A beat has been sent. */
    void onBeat();
  }

  /** Passes what happens on the network's thread on to the loop. */
  private final class Handler implements FrameHandler {
    @Override
    public void onOpen(FrameConnection connection) {
      loop.post(() -> FellowNet.this.onOpen(connection));
    }

    @Override
    public void onFrame(FrameConnection connection, byte[] body) {
      loop.post(() -> FellowNet.this.onFrame(connection, body));
    }

    @Override
    public void onClosed(FrameConnection connection, String reason) {
      loop.post(() -> FellowNet.this.onClosed(connection, reason));
    }

    @Override
    public void onFailed(Endpoint peer, String reason) {
      loop.post(() -> dialing.remove(peer));
    }
  }
}

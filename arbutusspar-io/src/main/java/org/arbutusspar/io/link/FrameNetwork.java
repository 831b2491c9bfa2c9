package org.arbutusspar.io.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.StepException;

/**
 * TCP connections between instances that carry frames: a big-endian 4-byte length, followed by a
 * body. One thread serves all connections with non-blocking I/O.
 */
public final class FrameNetwork implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(FrameNetwork.class);
  private static final int ACCEPT_QUEUE_CONNECTIONS = 256;

  /**
   * Number of open connections, incoming and outgoing, from which on further incoming ones are
   * closed.
   */
  private static final int MAX_CONNECTIONS = 2_048;

  private static final long STOP_TIMEOUT_MILLIS = 1_000;

  private final Endpoint local;
  private final Selector selector;
  private final ServerSocketChannel server;
  private final FrameHandler handler;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::run, "links");

  /** Connections that are not established yet, by endpoint. */
  private final Map<Endpoint, FrameConnection> connecting = new HashMap<>();

  private volatile boolean closed;

  private FrameNetwork(
      Endpoint local, Selector selector, ServerSocketChannel server, FrameHandler handler) {
    this.local = local;
    this.selector = selector;
    this.server = server;
    this.handler = handler;
  }

  /**
   * Starts to accept connections.
   *
   * @param local endpoint to listen on; outgoing connections use its host as their source address,
   *     not null
   * @param handler notified of connections and frames on the network's thread, not null
   * @return the network, to be closed by the caller
   * @throws StepException if the server socket cannot be bound to the endpoint
   */
  public static FrameNetwork start(Endpoint local, FrameHandler handler) {
    Objects.requireNonNull(local, "local");
    Objects.requireNonNull(handler, "handler");
    try {
      Selector selector = Selector.open();
      ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(new InetSocketAddress(local.host(), local.port()), ACCEPT_QUEUE_CONNECTIONS);
      server.configureBlocking(false);
      server.register(selector, SelectionKey.OP_ACCEPT);
      FrameNetwork network = new FrameNetwork(local, selector, server, handler);
      network.thread.setDaemon(true);
      network.thread.start();
      return network;
    } catch (IOException e) {
      throw new StepException("link-listen", local.toString(), e.getMessage(), e);
    }
  }

  /**
   * Starts to open a connection. The handler is notified when it is established or has failed.
   *
   * @param peer endpoint on which the other instance listens, not null
   */
  public void connect(Endpoint peer) {
    execute(() -> startConnecting(peer));
  }

  /**
   * Gives up an attempt to open a connection; has no effect once it is established.
   *
   * @param peer endpoint that is being connected, not null
   */
  public void cancelConnect(Endpoint peer) {
    execute(
        () -> {
          FrameConnection connection = connecting.get(peer);
          if (connection != null) {
            drop(connection, "connect timeout");
          }
        });
  }

  /**
   * Sends a frame on several connections, with one wake-up of the network's thread.
   *
   * @param connections the connections, not null; copied
   * @param body the frame's body, not null; must not be modified afterwards
   */
  public void send(Collection<FrameConnection> connections, byte[] body) {
    List<FrameConnection> receivers = List.copyOf(connections);
    execute(() -> receivers.forEach(connection -> connection.enqueue(body)));
  }

  /** Queues a task to run on the network's thread. */
  void execute(Runnable task) {
    tasks.add(task);
    if (Thread.currentThread() != thread) {
      selector.wakeup();
    }
  }

  private void startConnecting(Endpoint peer) {
    SocketChannel channel = null;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress(local.host(), 0));
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      FrameConnection connection = new FrameConnection(this, channel, peer, true);
      SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, connection);
      connection.key(key);
      connecting.put(peer, connection);
      if (channel.connect(new InetSocketAddress(peer.host(), peer.port()))) {
        onConnected(connection);
      }
    } catch (IOException e) {
      connecting.remove(peer);
      closeQuietly(channel);
      handler.onFailed(peer, e.toString());
    }
  }

  private void run() {
    while (!closed) {
      try {
        selector.select();
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        ready.forEach(this::serve);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
      } catch (IOException | RuntimeException e) {
        LOG.error(KeyValueLine.event("link-thread-error").with("error", e), e);
      }
    }
  }

  private void serve(SelectionKey key) {
    if (!key.isValid()) {
      return;
    }
    if (key.isAcceptable()) {
      accept();
      return;
    }
    FrameConnection connection = (FrameConnection) key.attachment();
    try {
      if (key.isConnectable()) {
        ((SocketChannel) key.channel()).finishConnect();
        onConnected(connection);
      }
      if (key.isValid() && key.isReadable()) {
        connection.read(handler);
      }
      if (key.isValid() && key.isWritable()) {
        connection.flush();
      }
    } catch (IOException e) {
      drop(connection, e.toString());
    }
  }

  private void accept() {
    try {
      SocketChannel channel = server.accept();
      if (channel == null) {
        return;
      }
      if (selector.keys().size() > MAX_CONNECTIONS) {
        channel.close();
        LOG.warn(KeyValueLine.event("link-refused").with("reason", "too-many-connections"));
        return;
      }
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      InetSocketAddress remote = (InetSocketAddress) channel.getRemoteAddress();
      Endpoint peer = new Endpoint(remote.getAddress().getHostAddress(), remote.getPort());
      FrameConnection connection = new FrameConnection(this, channel, peer, false);
      connection.key(channel.register(selector, SelectionKey.OP_READ, connection));
      handler.onOpen(connection);
    } catch (IOException e) {
      LOG.warn(KeyValueLine.event("link-accept-failed").with("error", e));
    }
  }

  private void onConnected(FrameConnection connection) {
    connecting.remove(connection.peer(), connection);
    connection.onConnected();
    handler.onOpen(connection);
  }

  /**
   * Closes a connection and notifies the handler; has no effect if it is already closed. Must be
   * called on the network's thread.
   */
  void drop(FrameConnection connection, String reason) {
    if (!connection.markClosed()) {
      return;
    }
    connecting.remove(connection.peer(), connection);
    closeQuietly(connection.channel());
    if (connection.wasConnected()) {
      handler.onClosed(connection, reason);
    } else {
      handler.onFailed(connection.peer(), reason);
    }
  }

  private static void closeQuietly(SocketChannel channel) {
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (IOException e) {
      LOG.debug(KeyValueLine.event("link-close-failed").with("error", e));
    }
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    selector.wakeup();
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
      for (SelectionKey key : new ArrayList<>(selector.keys())) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException e) {
      LOG.debug(KeyValueLine.event("link-close-failed").with("error", e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.arbutusspar.io.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.io.StepException;

/**
 * All links of one instance: accepts links from peers, and keeps a link open to each target
 * endpoint. Thread-safe.
 */
public final class Links implements AutoCloseable {

  /**
   * Maximum number of accepted connections, including those in the handshake; further ones are
   * closed.
   */
  private static final int MAX_ACCEPTED_LINKS = 64;

  private static final int ACCEPT_QUEUE_CONNECTIONS = 32;

  /** Delay after a failed connect, handshake or accept, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final Endpoint endpoint;
  private final LinkSecret secret;
  private final LinkHandler handler;
  private final ServerSocket server;

  /** Dialers by target endpoint. Guarded by this. */
  private final Map<Endpoint, Dialer> dialers = new HashMap<>();

  /** Links initiated by this instance, by the incarnation of the peer. */
  private final Map<Home, Link> outgoing = new ConcurrentHashMap<>();

  private final Set<Socket> acceptedSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  private Links(Endpoint endpoint, LinkSecret secret, LinkHandler handler, ServerSocket server) {
    this.endpoint = endpoint;
    this.secret = secret;
    this.handler = handler;
    this.server = server;
  }

  /**
   * Starts to accept links.
   *
   * @param endpoint endpoint to listen on, not null
   * @param secret the shared secret, not null
   * @param handler notified of link events and messages, not null
   * @return the links, to be closed by the caller
   * @throws StepException if the server socket cannot be bound to the endpoint
   */
  public static Links start(Endpoint endpoint, LinkSecret secret, LinkHandler handler) {
    Objects.requireNonNull(secret, "secret");
    Objects.requireNonNull(handler, "handler");
    try {
      ServerSocket server =
          new ServerSocket(
              endpoint.port(), ACCEPT_QUEUE_CONNECTIONS, InetAddress.getByName(endpoint.host()));
      Links links = new Links(endpoint, secret, handler, server);
      startThread("link-accept", links::acceptAll);
      return links;
    } catch (IOException e) {
      throw new StepException("link-listen", endpoint.toString(), e.getMessage(), e);
    }
  }

  /**
   * Sets the endpoints to keep links open to. Starts to connect to new ones, and closes the links
   * to those that are no longer in the collection.
   *
   * @param targets endpoints on which peers accept links, not null
   */
  public synchronized void setTargets(Collection<Endpoint> targets) {
    Set<Endpoint> targetSet = new HashSet<>(targets);
    dialers
        .entrySet()
        .removeIf(
            entry -> {
              boolean isObsolete = !targetSet.contains(entry.getKey());
              if (isObsolete) {
                entry.getValue().stop();
              }
              return isObsolete;
            });
    for (Endpoint each : targetSet) {
      if (!closed && !dialers.containsKey(each)) {
        Dialer dialer = new Dialer(each);
        dialers.put(each, dialer);
        startThread("link-" + each, dialer::run);
      }
    }
  }

  /**
   * Returns the open link from this instance to an incarnation of another one.
   *
   * @param home the other instance and its incarnation, not null
   * @return the link, or empty if there is none
   */
  public Optional<Link> find(Home home) {
    return Optional.ofNullable(outgoing.get(home)).filter(link -> !link.isClosed());
  }

  /** Returns the links that this instance initiated and that are open. */
  public List<Link> outgoing() {
    return outgoing.values().stream().filter(link -> !link.isClosed()).toList();
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        if (acceptedSockets.size() >= MAX_ACCEPTED_LINKS) {
          socket.close();
          continue;
        }
        acceptedSockets.add(socket);
        startThread("link-in", () -> serve(socket));
      } catch (IOException e) {
        pause(RETRY_DELAY_MILLIS);
      }
    }
  }

  private void serve(Socket socket) {
    try (socket;
        Link link = Link.accept(socket, secret, handler.self())) {
      link.readAll(handler);
    } catch (IOException | RuntimeException e) {
      // The handshake failed; a client without the secret gets no error, only a closed connection.
    } finally {
      acceptedSockets.remove(socket);
    }
  }

  private static void startThread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    setTargets(List.of());
    try {
      server.close();
    } catch (IOException e) {
      // There is no other way to release the socket.
    }
    for (Socket socket : new ArrayList<>(acceptedSockets)) {
      try {
        socket.close();
      } catch (IOException e) {
        // There is no other way to release the socket.
      }
    }
  }

  /** Connects to one target, and reconnects after the link ends or fails, until stopped. */
  private final class Dialer {
    private final Endpoint target;
    private volatile boolean stopped;
    private volatile Link link;

    private Dialer(Endpoint target) {
      this.target = target;
    }

    private void run() {
      while (!stopped) {
        try (Socket socket = connect();
            Link established = Link.open(socket, secret, handler.self())) {
          serve(established);
        } catch (IOException | RuntimeException e) {
          if (!stopped) {
            handler.onFailed(target, e.getClass().getSimpleName() + ": " + e.getMessage());
            pause(RETRY_DELAY_MILLIS);
          }
        }
      }
    }

    private Socket connect() throws IOException {
      Socket socket = new Socket();
      socket.bind(new InetSocketAddress(endpoint.host(), 0));
      socket.connect(
          new InetSocketAddress(target.host(), target.port()), Link.HANDSHAKE_TIMEOUT_MILLIS);
      return socket;
    }

    private void serve(Link established) {
      link = established;
      Home home = established.peer().home();
      outgoing.put(home, established);
      handler.onUp(established);
      if (stopped) {
        established.close();
      }
      established.readAll(handler);
      outgoing.remove(home, established);
      handler.onDown(established);
    }

    private void stop() {
      stopped = true;
      Link current = link;
      if (current != null) {
        current.close();
      }
    }
  }
}

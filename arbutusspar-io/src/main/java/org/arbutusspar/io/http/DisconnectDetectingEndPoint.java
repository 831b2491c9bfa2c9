package org.arbutusspar.io.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.io.KeyValueLine;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a client that notices while a request is being served that the client has closed
 * it. Jetty reads a connection only between requests; this end point reads on meanwhile, and keeps
 * what it reads for Jetty.
 */
final class DisconnectDetectingEndPoint extends SocketChannelEndPoint {

  private static final Logger LOG = LogManager.getLogger(DisconnectDetectingEndPoint.class);
  private static final int EARLY_BYTES = 1_024;

  private final Executor executor;
  private final Object lock = new Object();
  private final Callback watcher = new Watcher();
  private ByteBuffer early = BufferUtil.EMPTY_BUFFER;
  private boolean ended;
  private boolean watching;
  private Callback waiting;
  private Runnable onClosed;
  private final Scheduler scheduler;
  private final LongSupplier headerMillis;
  private Phase phase = Phase.IDLE;
  private long headerSince;
  private long requestNumber;
  private Scheduler.Task headerTimer;

  /** What the connection carries at the moment. */
  private enum Phase {
    /** Nothing: the next byte begins a request. */
    IDLE,
    /** A part of a request's header. */
    HEADER,
    /** A request whose header is there whole, or its answer. */
    REQUEST
  }

  DisconnectDetectingEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor,
      LongSupplier headerMillis) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
    this.scheduler = scheduler;
    this.headerMillis = headerMillis;
  }

  /**
   * Notes that the header of a request has been read.
   *
   * @return the request's number, to be given to {@link #onRequestEnd}
   */
  long onRequestBegin() {
    synchronized (lock) {
      phase = Phase.REQUEST;
      if (headerTimer != null) {
        headerTimer.cancel();
        headerTimer = null;
      }
      return ++requestNumber;
    }
  }

  /** Notes that a request has been answered; of no effect if the next one has begun. */
  void onRequestEnd(long number) {
    synchronized (lock) {
      if (number == requestNumber && phase == Phase.REQUEST) {
        phase = Phase.IDLE;
      }
    }
  }

  private void noteBytes() {
    if (phase == Phase.IDLE) {
      phase = Phase.HEADER;
      headerSince = System.nanoTime();
    }
  }

  /** Sets a timer only for a header that did not arrive in one piece, which is rare. */
  private void limitHeader() {
    synchronized (lock) {
      if (phase == Phase.HEADER && headerTimer == null) {
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headerSince);
        long left = Math.max(0, headerMillis.getAsLong() - passed);
        headerTimer = scheduler.schedule(this::onHeaderLate, left, TimeUnit.MILLISECONDS);
      }
    }
  }

  private void onHeaderLate() {
    synchronized (lock) {
      headerTimer = null;
      if (phase != Phase.HEADER) {
        return;
      }
    }
    LOG.info(
        KeyValueLine.event("header-late")
            .with("peer", getRemoteSocketAddress())
            .with("limit_ms", headerMillis.getAsLong()));
    close();
  }

  /**
   * Watches the connection until {@link #clearOnDisconnect}.
   *
   * @param closed run at most once, when the client has closed the connection
   */
  void onDisconnect(Runnable closed) {
    boolean alreadyEnded;
    synchronized (lock) {
      alreadyEnded = ended;
      onClosed = closed;
      if (!ended && !watching && !early.hasRemaining()) {
        watching = super.tryFillInterested(watcher);
      }
    }
    if (alreadyEnded) {
      tellClosed();
    }
  }

  /** Stops telling of the connection's end. */
  void clearOnDisconnect() {
    synchronized (lock) {
      onClosed = null;
    }
  }

  /** Makes the connection end by a reset. */
  void resetOnClose() {
    try {
      getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      LOG.debug(KeyValueLine.event("linger-failed").with("error", e));
    }
  }

  private void tellClosed() {
    Runnable closed;
    synchronized (lock) {
      closed = onClosed;
      onClosed = null;
    }
    if (closed != null) {
      closed.run();
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (early.hasRemaining()) {
        int position = BufferUtil.flipToFill(buffer);
        int count = BufferUtil.put(early, buffer);
        BufferUtil.flipToFlush(buffer, position);
        noteBytes();
        return count;
      }
      int count = ended ? -1 : super.fill(buffer);
      if (count > 0) {
        noteBytes();
      }
      return count;
    }
  }

  @Override
  public void fillInterested(Callback callback) {
    limitHeader();
    if (!register(callback)) {
      super.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    limitHeader();
    return register(callback) || super.tryFillInterested(callback);
  }

  /** Returns whether a callback needs no interest of its own at the selector. */
  private boolean register(Callback callback) {
    synchronized (lock) {
      if (!early.hasRemaining() && !ended) {
        if (watching) {
          waiting = callback;
        }
        return watching;
      }
    }
    executor.execute(callback::succeeded);
    return true;
  }

  /** Called once the selector finds the connection readable. */
  private final class Watcher implements Callback {

    @Override
    public void succeeded() {
      Callback callback;
      boolean closedNow = false;
      synchronized (lock) {
        watching = false;
        callback = waiting;
        waiting = null;
        if (callback == null) {
          closedNow = readEarly();
        }
      }
      if (callback != null) {
        callback.succeeded();
      } else if (closedNow) {
        tellClosed();
      }
    }

    private boolean readEarly() {
      ByteBuffer buffer = BufferUtil.allocate(EARLY_BYTES);
      try {
        int count = DisconnectDetectingEndPoint.super.fill(buffer);
        ended = count < 0;
        if (count > 0) {
          early = buffer;
        } else if (count == 0) {
          watching = DisconnectDetectingEndPoint.super.tryFillInterested(watcher);
        }
      } catch (IOException e) {
        ended = true;
      }
      return ended;
    }

    @Override
    public void failed(Throwable cause) {
      Callback callback;
      synchronized (lock) {
        watching = false;
        callback = waiting;
        waiting = null;
        ended = ended || callback == null;
      }
      if (callback != null) {
        callback.failed(cause);
      } else {
        tellClosed();
      }
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }
}

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
  private static final int READ_AHEAD_BYTES = 1_024;

  private final Executor executor;
  private final Object lock = new Object();
  private final Callback readAheadCallback = new ReadAheadCallback();
  private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;
  private boolean inputEnded;
  private boolean readInterestSet;
  private Callback jettyCallback;
  private Runnable disconnectAction;
  private final Scheduler scheduler;
  private final LongSupplier headerTimeoutMillis;
  private Phase phase = Phase.IDLE;
  private long headerStartNanos;
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
      LongSupplier headerTimeoutMillis) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
    this.scheduler = scheduler;
    this.headerTimeoutMillis = headerTimeoutMillis;
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

  private void onBytesRead() {
    if (phase == Phase.IDLE) {
      phase = Phase.HEADER;
      headerStartNanos = System.nanoTime();
    }
  }

  /** Sets a timer only for a header that did not arrive in one piece, which is rare. */
  private void startHeaderTimer() {
    synchronized (lock) {
      if (phase == Phase.HEADER && headerTimer == null) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headerStartNanos);
        long remainingMillis = Math.max(0, headerTimeoutMillis.getAsLong() - elapsedMillis);
        headerTimer =
            scheduler.schedule(this::onHeaderTimeout, remainingMillis, TimeUnit.MILLISECONDS);
      }
    }
  }

  private void onHeaderTimeout() {
    synchronized (lock) {
      headerTimer = null;
      if (phase != Phase.HEADER) {
        return;
      }
    }
    LOG.info(
        KeyValueLine.event("header-late")
            .with("peer", getRemoteSocketAddress())
            .with("limit_ms", headerTimeoutMillis.getAsLong()));
    close();
  }

  /**
   * Watches the connection until {@link #clearOnDisconnect}.
   *
   * @param action run at most once, when the client has closed the connection
   */
  void onDisconnect(Runnable action) {
    boolean alreadyDisconnected;
    synchronized (lock) {
      alreadyDisconnected = inputEnded;
      disconnectAction = action;
      if (!inputEnded && !readInterestSet && !readAhead.hasRemaining()) {
        readInterestSet = super.tryFillInterested(readAheadCallback);
      }
    }
    if (alreadyDisconnected) {
      notifyDisconnected();
    }
  }

  /** Stops telling of the connection's end. */
  void clearOnDisconnect() {
    synchronized (lock) {
      disconnectAction = null;
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

  private void notifyDisconnected() {
    Runnable action;
    synchronized (lock) {
      action = disconnectAction;
      disconnectAction = null;
    }
    if (action != null) {
      action.run();
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (readAhead.hasRemaining()) {
        int position = BufferUtil.flipToFill(buffer);
        int count = BufferUtil.put(readAhead, buffer);
        BufferUtil.flipToFlush(buffer, position);
        onBytesRead();
        return count;
      }
      int count = inputEnded ? -1 : super.fill(buffer);
      if (count > 0) {
        onBytesRead();
      }
      return count;
    }
  }

  @Override
  public void fillInterested(Callback callback) {
    startHeaderTimer();
    if (!registerCallback(callback)) {
      super.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    startHeaderTimer();
    return registerCallback(callback) || super.tryFillInterested(callback);
  }

  /** Returns whether a callback needs no interest of its own at the selector. */
  private boolean registerCallback(Callback callback) {
    synchronized (lock) {
      if (!readAhead.hasRemaining() && !inputEnded) {
        if (readInterestSet) {
          jettyCallback = callback;
        }
        return readInterestSet;
      }
    }
    executor.execute(callback::succeeded);
    return true;
  }

  /** Called once the selector finds the connection readable. */
  private final class ReadAheadCallback implements Callback {

    @Override
    public void succeeded() {
      Callback callback;
      boolean disconnected = false;
      synchronized (lock) {
        readInterestSet = false;
        callback = jettyCallback;
        jettyCallback = null;
        if (callback == null) {
          disconnected = readIntoReadAhead();
        }
      }
      if (callback != null) {
        callback.succeeded();
      } else if (disconnected) {
        notifyDisconnected();
      }
    }

    private boolean readIntoReadAhead() {
      ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
      try {
        int count = DisconnectDetectingEndPoint.super.fill(buffer);
        inputEnded = count < 0;
        if (count > 0) {
          readAhead = buffer;
        } else if (count == 0) {
          readInterestSet = DisconnectDetectingEndPoint.super.tryFillInterested(readAheadCallback);
        }
      } catch (IOException e) {
        inputEnded = true;
      }
      return inputEnded;
    }

    @Override
    public void failed(Throwable cause) {
      Callback callback;
      synchronized (lock) {
        readInterestSet = false;
        callback = jettyCallback;
        jettyCallback = null;
        inputEnded = inputEnded || callback == null;
      }
      if (callback != null) {
        callback.failed(cause);
      } else {
        notifyDisconnected();
      }
    }

    @Override
    public InvocationType getInvocationType() {
      return InvocationType.NON_BLOCKING;
    }
  }
}

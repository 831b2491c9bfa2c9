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
 * A server connection that detects, while a request is being served, that the client has closed it.
 * Jetty does not read from a connection during that time. This end point waits for input itself; it
 * treats the end of the input as a disconnect, and keeps bytes that it reads until Jetty reads
 * them. It also enforces the timeout for receiving a request header.
 */
final class DisconnectDetectingEndPoint extends SocketChannelEndPoint {

  private static final Logger LOG = LogManager.getLogger(DisconnectDetectingEndPoint.class);

  /** Maximum number of bytes read ahead of Jetty. */
  private static final int READ_AHEAD_BYTES = 1_024;

  private final Executor executor;
  private final Object lock = new Object();
  private final Callback readAheadCallback = new ReadAheadCallback();

  /** Bytes that were read ahead and that Jetty has not read yet. */
  private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;

  /** Whether the client has closed the connection, or reading from it has failed. */
  private boolean inputEnded;

  /** Whether {@link #readAheadCallback} is registered with the selector. */
  private boolean readInterestSet;

  /** Callback of Jetty, to be run in place of {@link #readAheadCallback} when input arrives. */
  private Callback jettyCallback;

  private Runnable disconnectAction;
  private final Scheduler scheduler;
  private final LongSupplier headerTimeoutMillis;
  private Phase phase = Phase.IDLE;
  private long headerStartNanos;
  private long requestNumber;
  private Scheduler.Task headerTimer;

  /** Progress of the request that the connection carries. */
  private enum Phase {
    /** No request: the next byte starts one. */
    IDLE,
    /** A part of a request header has been received. */
    HEADER,
    /** The request header is complete; the request is being served. */
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
   * Records that the header of a request is complete, and stops the header timeout.
   *
   * @return number of the request on this connection, to be passed to {@link #onRequestEnd}
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

  /**
   * Records that a request is finished. Has no effect if the next request has already begun.
   *
   * @param number number of the request
   */
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

  /**
   * Starts the header timer if Jetty waits for more bytes of an incomplete header. A header that
   * arrives in one read, as most do, needs no timer.
   */
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
   * Sets the action that runs at most once, when the client closes the connection. If the client
   * has already closed it, the action runs immediately.
   *
   * @param action the action
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

  /**
   * Returns whether the client has closed the connection. Looks for input if none is known; bytes
   * that it finds are kept until Jetty reads them.
   */
  boolean isDisconnected() {
    synchronized (lock) {
      if (!inputEnded && !readAhead.hasRemaining() && jettyCallback == null) {
        fillReadAhead();
      }
      return inputEnded;
    }
  }

  private void fillReadAhead() {
    ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
    try {
      int count = super.fill(buffer);
      inputEnded = count < 0;
      if (count > 0) {
        readAhead = buffer;
      }
    } catch (IOException e) {
      inputEnded = true;
    }
  }

  /** Removes the action set by {@link #onDisconnect}. */
  void clearOnDisconnect() {
    synchronized (lock) {
      disconnectAction = null;
    }
  }

  /** Makes the next close of the connection send a TCP reset. */
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

  /**
   * Registers Jetty's callback for input without the selector, if possible: the callback is run at
   * once if bytes were read ahead or the input has ended, and takes over the pending wait for input
   * if there is one.
   *
   * @return false if the caller must register the callback with the selector
   */
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

  /**
   * Called by the selector when the connection is readable; runs Jetty's callback if one is set.
   */
  private final class ReadAheadCallback implements Callback {

    @Override
    public void succeeded() {
      Callback callback;
      boolean disconnected = false;
      synchronized (lock) {
        readInterestSet = false;
        callback = jettyCallback;
        jettyCallback = null;
        if (callback == null && !readAhead.hasRemaining()) {
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
      fillReadAhead();
      if (!inputEnded && !readAhead.hasRemaining()) {
        readInterestSet = DisconnectDetectingEndPoint.super.tryFillInterested(readAheadCallback);
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

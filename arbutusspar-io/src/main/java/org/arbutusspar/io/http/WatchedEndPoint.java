package org.arbutusspar.io.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
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
final class WatchedEndPoint extends SocketChannelEndPoint {

  private static final Logger LOG = LogManager.getLogger(WatchedEndPoint.class);
  private static final int EARLY_BYTES = 1_024;

  private final Executor executor;
  private final Object lock = new Object();
  private final Callback watcher = new Watcher();
  private ByteBuffer early = BufferUtil.EMPTY_BUFFER;
  private boolean ended;
  private boolean watching;
  private Callback waiting;
  private Runnable onClosed;

  WatchedEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
  }

  /**
   * Watches the connection until {@link #unwatch}.
   *
   * @param closed run at most once, when the client has closed the connection
   */
  void watch(Runnable closed) {
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
  void unwatch() {
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
        return count;
      }
      return ended ? -1 : super.fill(buffer);
    }
  }

  @Override
  public void fillInterested(Callback callback) {
    if (!register(callback)) {
      super.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
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
        int count = WatchedEndPoint.super.fill(buffer);
        ended = count < 0;
        if (count > 0) {
          early = buffer;
        } else if (count == 0) {
          watching = WatchedEndPoint.super.tryFillInterested(watcher);
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

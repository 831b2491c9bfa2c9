package org.arbutusspar.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A client connection that reports a TCP reset as an error. Jetty's own end point treats a reset
 * like an orderly end of the stream, so that a response without a Content-Length that is truncated
 * by a reset would look complete.
 *
 * <p>It also ends interim responses without end, which Jetty's client reads for as long as they
 * come.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  private final InterimResponseLimit interimResponses = InterimResponseLimit.create();

  ResetAwareEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    interimResponses.onRequest();
    return super.flush(buffers);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    try {
      int start = buffer.position();
      int count = getChannel().read(buffer);
      if (count > 0) {
        notIdle();
        interimResponses.onBytes(buffer.duplicate().limit(start + count).position(start));
      } else if (count < 0) {
        shutdownInput();
      }
      return count;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }
}

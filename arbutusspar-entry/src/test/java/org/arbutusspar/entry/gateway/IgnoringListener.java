package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.RawListener;

/**
 * Listener that discards a response.
 *
 * @param ended completed when the response has ended, exceptionally if it failed
 */
record IgnoringListener(CompletableFuture<Void> ended) implements RawListener {

  @Override
  public boolean beforeSend() {
    return true;
  }

  @Override
  public void onHeaders(int status, List<HeaderField> fields) {}

  @Override
  public void onContent(ByteBuffer part, Runnable acknowledge) {
    acknowledge.run();
  }

  @Override
  public void onSuccess() {
    ended.complete(null);
  }

  @Override
  public void onFailure(Throwable cause) {
    ended.completeExceptionally(cause);
  }
}

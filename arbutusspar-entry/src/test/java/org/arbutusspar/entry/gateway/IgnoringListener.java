package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.RawListener;

/** Takes an answer without looking at it. */
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

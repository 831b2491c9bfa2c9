package org.arbutusspar.io.platform;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;

/**
 * Makes HTTP calls to the platform. After a failed call, later calls use a new pool of connections,
 * because the old connections may no longer deliver data.
 */
final class PlatformCalls {

  private final HttpCaller http;

  /** Number of the current pool of connections. */
  private final AtomicInteger generation = new AtomicInteger();

  private PlatformCalls(HttpCaller http) {
    this.http = http;
  }

  static PlatformCalls create(HttpCaller http) {
    return new PlatformCalls(Objects.requireNonNull(http, "http"));
  }

  /** Makes a call; see {@link HttpCaller#call}. The pool name of the call is replaced. */
  CompletableFuture<HttpReply> call(String step, HttpCall call) {
    int callGeneration = generation.get();
    return http.call(step, call.inPool("g" + callGeneration))
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                generation.compareAndSet(callGeneration, callGeneration + 1);
              }
            });
  }
}

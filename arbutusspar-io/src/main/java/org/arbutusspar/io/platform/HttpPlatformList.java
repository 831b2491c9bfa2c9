package org.arbutusspar.io.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.StepException;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;

/** Client of the list service over HTTP. An unchanged list is not sent again. */
public final class HttpPlatformList implements PlatformList {

  private static final String STEP = "list-read";
  private static final long TIMEOUT_MILLIS = 1_500;
  private static final int NOT_MODIFIED = 304;

  private final PlatformCalls http;
  private final URI base;
  private volatile Cached cached = new Cached("", Listing.EMPTY);

  private HttpPlatformList(HttpCaller http, URI base) {
    this.http = PlatformCalls.create(http);
    this.base = base;
  }

  /**
   * Returns a client.
   *
   * @param http makes its calls, not null
   * @param base address of the list service, not null
   * @return the client
   */
  public static HttpPlatformList create(HttpCaller http, URI base) {
    return new HttpPlatformList(
        Objects.requireNonNull(http, "http"), Objects.requireNonNull(base, "base"));
  }

  @Override
  public CompletableFuture<Listing> read() {
    HttpCall call = HttpCall.get(base.resolve("/v1/list"), TIMEOUT_MILLIS);
    if (!cached.tag().isEmpty()) {
      call = call.with("If-None-Match", cached.tag());
    }
    return http.call(STEP, call).thenApply(this::parse);
  }

  private Listing parse(HttpReply reply) {
    if (reply.status() == NOT_MODIFIED) {
      return cached.listing();
    }
    if (!reply.isSuccess()) {
      throw new StepException(STEP, base.getAuthority(), "status " + reply.status(), null);
    }
    try {
      Listing listing = Mappers.json().readValue(reply.body(), Listing.class);
      String tag = reply.headers().get("ETag");
      cached = new Cached(tag == null ? "" : tag, listing);
      return listing;
    } catch (JsonProcessingException e) {
      throw new StepException(STEP, base.getAuthority(), "malformed answer", e);
    }
  }

  private record Cached(String tag, Listing listing) {}
}

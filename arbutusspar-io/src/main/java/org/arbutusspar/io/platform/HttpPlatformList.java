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

/**
 * HTTP client of the list service. It caches the last list, and sends conditional requests so that
 * an unchanged list is not transferred again.
 */
public final class HttpPlatformList implements PlatformList {

  private static final String STEP = "list-read";
  private static final long CALL_TIMEOUT_MILLIS = 1_500;
  private static final int STATUS_NOT_MODIFIED = 304;

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
   * @param http HTTP client to use, not null
   * @param base base URI of the list service, not null
   * @return the client
   */
  public static HttpPlatformList create(HttpCaller http, URI base) {
    return new HttpPlatformList(
        Objects.requireNonNull(http, "http"), Objects.requireNonNull(base, "base"));
  }

  @Override
  public CompletableFuture<Listing> read() {
    HttpCall call = HttpCall.get(base.resolve("/v1/list"), CALL_TIMEOUT_MILLIS);
    if (!cached.etag().isEmpty()) {
      call = call.with("If-None-Match", cached.etag());
    }
    return http.call(STEP, call).thenApply(this::parse);
  }

  private Listing parse(HttpReply reply) {
    if (reply.status() == STATUS_NOT_MODIFIED) {
      return cached.listing();
    }
    if (!reply.isSuccess()) {
      throw new StepException(STEP, base.getAuthority(), "status " + reply.status(), null);
    }
    try {
      Listing listing = Mappers.json().readValue(reply.body(), Listing.class);
      String etag = reply.headers().get("ETag");
      cached = new Cached(etag == null ? "" : etag, listing);
      return listing;
    } catch (JsonProcessingException e) {
      throw new StepException(STEP, base.getAuthority(), "malformed response", e);
    }
  }

  private record Cached(String etag, Listing listing) {}
}

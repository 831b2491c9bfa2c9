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

/** HTTP client of the log service. */
public final class HttpPlatformLog implements PlatformLog {

  private static final long CALL_TIMEOUT_MILLIS = 1_500;
  private static final int MAX_PAGE_RECORDS = 500;

  private final PlatformCalls http;
  private final URI base;

  private HttpPlatformLog(HttpCaller http, URI base) {
    this.http = PlatformCalls.create(http);
    this.base = base;
  }

  /**
   * Returns a client.
   *
   * @param http HTTP client to use, not null
   * @param base base URI of the log service, not null
   * @return the client
   */
  public static HttpPlatformLog create(HttpCaller http, URI base) {
    return new HttpPlatformLog(
        Objects.requireNonNull(http, "http"), Objects.requireNonNull(base, "base"));
  }

  @Override
  public CompletableFuture<Long> append(String data) {
    String step = "log-append";
    HttpCall call = HttpCall.post(base.resolve("/v1/append"), data, CALL_TIMEOUT_MILLIS);
    return http.call(step, call).thenApply(reply -> parse(step, reply, Appended.class).offset());
  }

  @Override
  public CompletableFuture<LogPage> read(long from, long waitMillis) {
    String step = "log-read";
    String query = "/v1/read?from=" + from + "&limit=" + MAX_PAGE_RECORDS + "&waitMs=" + waitMillis;
    HttpCall call = HttpCall.get(base.resolve(query), CALL_TIMEOUT_MILLIS + waitMillis);
    return http.call(step, call).thenApply(reply -> parse(step, reply, LogPage.class));
  }

  private <T> T parse(String step, HttpReply reply, Class<T> type) {
    if (!reply.isSuccess()) {
      throw new StepException(step, base.getAuthority(), "status " + reply.status(), null);
    }
    try {
      return Mappers.json().readValue(reply.body(), type);
    } catch (JsonProcessingException e) {
      throw new StepException(step, base.getAuthority(), "malformed response", e);
    }
  }

  private record Appended(long offset) {}
}

package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.io.StepException;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;

/**
 * Sends requests with the retries that the system expects of its callers. A request that certainly
 * did not reach an instance is sent to the next address. If the connection is lost after it may
 * have reached one, a repeatable request is sent again under the same identifier; for any other,
 * the outcome is queried by identifier, so that it does not run twice.
 */
final class CallerClient {

  private static final int MAX_TRIES = 6;

  /** Time by which an HTTP call may exceed the deadline, for the response to arrive. */
  private static final long RESPONSE_GRACE_MILLIS = 1_500;

  /** Remaining time below which no further try is made. */
  private static final long MIN_RETRY_MILLIS = 200;

  private static final String REQUEST_ID_HEADER = "Arbutus-Request-Id";

  private final HttpCaller http;

  private CallerClient(HttpCaller http) {
    this.http = http;
  }

  static CallerClient create(HttpCaller http) {
    return new CallerClient(Objects.requireNonNull(http, "http"));
  }

  /**
   * Sends a request.
   *
   * @param spec the request
   * @param addresses addresses of the caller's instances
   * @return the result; the future never fails, a failure to connect is an outcome too
   */
  CompletableFuture<CallResult> call(CallSpec spec, AddressCache addresses) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(spec.deadlineMillis());
    return new Call(spec, addresses, deadlineNanos).submit();
  }

  /** State of one request over all its tries. */
  private final class Call {
    private final CallSpec spec;
    private final AddressCache addresses;
    private final long deadlineNanos;
    private String id = "";
    private int tries;

    private Call(CallSpec spec, AddressCache addresses, long deadlineNanos) {
      this.spec = spec;
      this.addresses = addresses;
      this.deadlineNanos = deadlineNanos;
    }

    /** Sends the request to the next address; assigns an identifier if it has none. */
    private CompletableFuture<CallResult> submit() {
      return addresses
          .get()
          .thenCompose(candidates -> submitTo(candidates))
          .exceptionally(failure -> resultWithoutBody(CallResult.UNREACHABLE, "addresses"));
    }

    private CompletableFuture<CallResult> submitTo(List<CallerAddress> candidates) {
      CallerAddress address = candidates.get(Math.floorMod(tries, candidates.size()));
      boolean reusesId = !id.isEmpty();
      id = reusesId ? id : address.idPrefix() + "." + spec.idSuffix();
      tries++;
      return http.call("call", httpCall(address))
          .handle(
              (response, failure) ->
                  failure == null
                      ? onResponse(response)
                      : onFailure(
                          address,
                          failure instanceof CompletionException ? failure.getCause() : failure))
          .thenCompose(next -> next);
    }

    private HttpCall httpCall(CallerAddress address) {
      long remaining = remainingMillis();
      HttpCall call =
          HttpCall.post(
                  InstanceClient.uri(address.endpoint(), spec.path()),
                  spec.body(),
                  remaining + RESPONSE_GRACE_MILLIS)
              .with("Authorization", "Bearer " + spec.workspaceKey())
              .with(REQUEST_ID_HEADER, id)
              .with("Arbutus-Deadline-Ms", Long.toString(remaining));
      if (spec.plainService()) {
        call = call.with("Arbutus-Repeatable", Boolean.toString(spec.repeatable()));
      }
      return spec.streaming() ? call.with("Accept", "text/event-stream") : call;
    }

    private long remainingMillis() {
      long millis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      return Math.max(1, millis);
    }

    /**
     * Sends the request again if it was rejected by an instance that is leaving; queries the
     * outcome if it is not known yet and the request may not run twice.
     */
    private CompletableFuture<CallResult> onResponse(HttpReply response) {
      CallResult result = ResponseParser.parse(id, response, tries, spec.streaming());
      boolean leaving =
          result.outcome().equals(CallResult.NOT_RUN) && result.reason().equals("leaving");
      if (leaving && tries < MAX_TRIES) {
        id = "";
        addresses.clear();
        return submit();
      }
      boolean outcomePending =
          result.outcome().equals(CallResult.UNKNOWN)
              && !spec.repeatable()
              && result.body().filter(body -> body.has("comeBackMs")).isPresent();
      return outcomePending && tries < MAX_TRIES && remainingMillis() > MIN_RETRY_MILLIS
          ? queryOutcome(result)
          : CompletableFuture.completedFuture(result);
    }

    private CompletableFuture<CallResult> onFailure(CallerAddress address, Throwable failure) {
      addresses.remove(address);
      boolean mayHaveRun = !(failure instanceof StepException step) || step.mayHaveBeenSent();
      if (tries >= MAX_TRIES || remainingMillis() < MIN_RETRY_MILLIS) {
        return CompletableFuture.completedFuture(
            resultWithoutBody(
                mayHaveRun ? CallResult.UNKNOWN : CallResult.UNREACHABLE, "connection"));
      }
      if (!mayHaveRun) {
        id = "";
        return submit();
      }
      if (spec.repeatable()) {
        return submit();
      }
      return queryOutcome(resultWithoutBody(CallResult.UNKNOWN, "connection"));
    }

    /**
     * Queries an instance for the outcome of the request.
     *
     * @param lastResult result to return if the query fails
     * @return the result
     */
    private CompletableFuture<CallResult> queryOutcome(CallResult lastResult) {
      tries++;
      return addresses
          .get()
          .thenCompose(
              candidates -> {
                CallerAddress address = candidates.get(Math.floorMod(tries, candidates.size()));
                String path =
                    "/v1/requests/"
                        + id
                        + "?waitMs="
                        + remainingMillis()
                        + (spec.plainService() ? "&kind=service" : "");
                HttpCall call =
                    HttpCall.get(
                            InstanceClient.uri(address.endpoint(), path),
                            remainingMillis() + RESPONSE_GRACE_MILLIS)
                        .with("Authorization", "Bearer " + spec.workspaceKey());
                return http.call("ask", call);
              })
          .handle(
              (response, failure) ->
                  failure == null ? ResponseParser.parse(id, response, tries, false) : lastResult);
    }

    private CallResult resultWithoutBody(String outcome, String reason) {
      return new CallResult(id, outcome, reason, Optional.empty(), tries, false);
    }
  }

  /** Parses the responses of instances. */
  static final class ResponseParser {

    private ResponseParser() {}

    static CallResult parse(String id, HttpReply response, int tries, boolean streaming) {
      String type = response.headers().get("Content-Type");
      boolean isStream = type != null && type.startsWith("text/event-stream");
      return isStream
          ? SseResponseParser.parse(id, response.body(), tries)
          : fromJson(id, response.body(), tries, false);
    }

    /**
     * Parses a JSON response.
     *
     * @param id identifier of the request, used if the response has none
     * @param body the response body
     * @param tries number of exchanges with instances so far
     * @param corrupt whether the response is known to be corrupt
     * @return the result; {@code failed} and corrupt if the body is not JSON
     */
    static CallResult fromJson(String id, String body, int tries, boolean corrupt) {
      try {
        JsonNode node = Mappers.json().readTree(body);
        return new CallResult(
            node.path("id").asText(id),
            node.path("outcome").asText(CallResult.FAILED),
            node.path("reason").asText(""),
            Optional.of(node),
            tries,
            corrupt);
      } catch (JsonProcessingException e) {
        return new CallResult(id, CallResult.FAILED, "malformed", Optional.empty(), tries, true);
      }
    }
  }
}

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
 * Makes requests as a well-behaved caller does: goes to another address if nobody answers at one,
 * and asks again by identifier if a connection is lost, so that nothing is run twice.
 */
final class CallerClient {

  private static final int MAX_TRIES = 6;
  private static final long RESPONSE_GRACE_MILLIS = 1_500;
  private static final long MIN_RETRY_MILLIS = 200;
  private static final String HEADER_ID = "Arbutus-Request-Id";

  private final HttpCaller http;

  private CallerClient(HttpCaller http) {
    this.http = http;
  }

  static CallerClient create(HttpCaller http) {
    return new CallerClient(Objects.requireNonNull(http, "http"));
  }

  /** Makes a request; the result is never a failed future. */
  CompletableFuture<CallResult> call(CallSpec spec, AddressCache addresses) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(spec.deadlineMillis());
    return new Call(spec, addresses, deadlineNanos).submit();
  }

  /** One request over all its tries. */
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
              .with(HEADER_ID, id)
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
      boolean mayHaveRun = !(failure instanceof StepException step) || step.isHandedOver();
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

    /** Asks any instance for the outcome; keeps the last word if nobody can tell. */
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

  /** Reads instances' answers. */
  static final class ResponseParser {

    private ResponseParser() {}

    static CallResult parse(String id, HttpReply response, int tries, boolean streaming) {
      String type = response.headers().get("Content-Type");
      boolean isStream = type != null && type.startsWith("text/event-stream");
      return isStream
          ? SseResponseParser.parse(id, response.body(), tries)
          : fromJson(id, response.body(), tries, false);
    }

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

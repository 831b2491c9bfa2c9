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
  private static final long GRACE_MILLIS = 1_500;
  private static final long MIN_TIMEOUT_MILLIS = 200;
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
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(spec.deadlineMillis());
    return new Call(spec, addresses, deadline).submit();
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
          .thenCompose(list -> submitTo(list))
          .exceptionally(failure -> given(CallResult.UNREACHABLE, "addresses"));
    }

    private CompletableFuture<CallResult> submitTo(List<CallerAddress> list) {
      CallerAddress address = list.get(Math.floorMod(tries, list.size()));
      boolean keepsId = !id.isEmpty();
      id = keepsId ? id : address.prefix() + "." + spec.suffix();
      tries++;
      return http.call("call", httpCall(address))
          .handle(
              (reply, failure) ->
                  failure == null
                      ? onReply(reply)
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
                  remaining + GRACE_MILLIS)
              .with("Authorization", "Bearer " + spec.key())
              .with(HEADER_ID, id)
              .with("Arbutus-Deadline-Ms", Long.toString(remaining));
      if (spec.service()) {
        call = call.with("Arbutus-Repeatable", Boolean.toString(spec.repeatable()));
      }
      return spec.streaming() ? call.with("Accept", "text/event-stream") : call;
    }

    private long remainingMillis() {
      long millis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      return Math.max(1, millis);
    }

    private CompletableFuture<CallResult> onReply(HttpReply reply) {
      CallResult result = CallReplies.parse(id, reply, tries, spec.streaming());
      boolean leaving =
          result.outcome().equals(CallResult.NOT_RUN) && result.reason().equals("leaving");
      if (leaving && tries < MAX_TRIES) {
        id = "";
        addresses.expire();
        return submit();
      }
      boolean comesLate =
          result.outcome().equals(CallResult.UNKNOWN)
              && !spec.repeatable()
              && result.body().filter(b -> b.has("comeBackMs")).isPresent();
      return comesLate && tries < MAX_TRIES && remainingMillis() > MIN_TIMEOUT_MILLIS
          ? ask(result)
          : CompletableFuture.completedFuture(result);
    }

    private CompletableFuture<CallResult> onFailure(CallerAddress address, Throwable failure) {
      addresses.drop(address);
      boolean mayHaveBeenSent = !(failure instanceof StepException step) || step.mayHaveBeenSent();
      if (tries >= MAX_TRIES || remainingMillis() < MIN_TIMEOUT_MILLIS) {
        return CompletableFuture.completedFuture(
            given(mayHaveBeenSent ? CallResult.UNKNOWN : CallResult.UNREACHABLE, "connection"));
      }
      if (!mayHaveBeenSent) {
        id = "";
        return submit();
      }
      if (spec.repeatable()) {
        return submit();
      }
      return ask(given(CallResult.UNKNOWN, "connection"));
    }

    /** Asks any instance for the outcome; keeps the last word if nobody can tell. */
    private CompletableFuture<CallResult> ask(CallResult last) {
      tries++;
      return addresses
          .get()
          .thenCompose(
              list -> {
                CallerAddress address = list.get(Math.floorMod(tries, list.size()));
                String path =
                    "/v1/requests/"
                        + id
                        + "?waitMs="
                        + remainingMillis()
                        + (spec.service() ? "&kind=service" : "");
                HttpCall call =
                    HttpCall.get(
                            InstanceClient.uri(address.endpoint(), path),
                            remainingMillis() + GRACE_MILLIS)
                        .with("Authorization", "Bearer " + spec.key());
                return http.call("ask", call);
              })
          .handle(
              (reply, failure) ->
                  failure == null ? CallReplies.parse(id, reply, tries, false) : last);
    }

    private CallResult given(String outcome, String reason) {
      return new CallResult(id, outcome, reason, Optional.empty(), tries, false);
    }
  }

  /** Reads instances' answers. */
  static final class CallReplies {

    private CallReplies() {}

    static CallResult parse(String id, HttpReply reply, int tries, boolean streaming) {
      String type = reply.headers().get("Content-Type");
      boolean isStream = type != null && type.startsWith("text/event-stream");
      return isStream
          ? SseAnswer.parse(id, reply.body(), tries)
          : fromJson(id, reply.body(), tries, false);
    }

    static CallResult fromJson(String id, String body, int tries, boolean streamBroken) {
      try {
        JsonNode node = Mappers.json().readTree(body);
        return new CallResult(
            node.path("id").asText(id),
            node.path("outcome").asText(CallResult.FAILED),
            node.path("reason").asText(""),
            Optional.of(node),
            tries,
            streamBroken);
      } catch (JsonProcessingException e) {
        return new CallResult(id, CallResult.FAILED, "malformed", Optional.empty(), tries, true);
      }
    }
  }
}

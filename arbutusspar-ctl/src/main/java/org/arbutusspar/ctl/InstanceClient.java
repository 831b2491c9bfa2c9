package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;

/** Asks entry instances over HTTP. */
final class InstanceClient {

  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

  private final HttpCaller http;
  private final List<Endpoint> seeds;

  private InstanceClient(HttpCaller http, List<Endpoint> seeds) {
    this.http = http;
    this.seeds = List.copyOf(seeds);
  }

  static InstanceClient create(HttpCaller http, List<Endpoint> seeds) {
    return new InstanceClient(Objects.requireNonNull(http, "http"), seeds);
  }

  static URI uri(Endpoint endpoint, String path) {
    return URI.create("http://" + endpoint + path);
  }

  /** Returns the answer of the first instance that answers with success. */
  JsonNode getFromAny(String path, Map<String, String> headers) {
    String lastFailure = "no instance given";
    for (Endpoint seed : seeds) {
      try {
        return get(seed, path, headers);
      } catch (CtlException e) {
        lastFailure = e.getMessage();
      }
    }
    throw new CtlException(ExitCode.UNREACHABLE, lastFailure);
  }

  JsonNode get(Endpoint endpoint, String path, Map<String, String> headers) {
    HttpCall call = HttpCall.get(uri(endpoint, path), REQUEST_TIMEOUT_MILLIS);
    for (Map.Entry<String, String> header : headers.entrySet()) {
      call = call.with(header.getKey(), header.getValue());
    }
    try {
      HttpReply response = http.call("instance", call).join();
      if (!response.isSuccess()) {
        throw new CtlException(
            ExitCode.UNREACHABLE,
            endpoint + " answered " + response.status() + " " + response.body());
      }
      return Mappers.json().readTree(response.body());
    } catch (CompletionException e) {
      throw new CtlException(ExitCode.UNREACHABLE, e.getCause().getMessage());
    } catch (JsonProcessingException e) {
      throw new CtlException(ExitCode.UNREACHABLE, endpoint + " gave a malformed answer");
    }
  }

  /** Returns the metrics of an instance on the users' platform, or empty if it does not answer. */
  Optional<String> metrics(Endpoint endpoint) {
    try {
      HttpReply response =
          http.call("metrics", HttpCall.get(uri(endpoint, "/metrics"), REQUEST_TIMEOUT_MILLIS))
              .join();
      return response.isSuccess() ? Optional.of(response.body()) : Optional.empty();
    } catch (CompletionException e) {
      System.err.println(endpoint + ": " + e.getCause().getMessage());
      return Optional.empty();
    }
  }

  /** Returns the status of every live instance, by its endpoint; null for one that is silent. */
  Map<Endpoint, JsonNode> statusOfAll(String operatorKey) {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + operatorKey);
    JsonNode firstStatus = getFromAny("/ops/v1/status", headers);
    Map<Endpoint, JsonNode> statuses = new LinkedHashMap<>();
    for (JsonNode member : firstStatus.path("members")) {
      Endpoint endpoint = Endpoint.parse(member.path("callers").asText());
      try {
        statuses.put(endpoint, get(endpoint, "/ops/v1/status", headers));
      } catch (CtlException e) {
        statuses.put(endpoint, null);
      }
    }
    return statuses;
  }
}

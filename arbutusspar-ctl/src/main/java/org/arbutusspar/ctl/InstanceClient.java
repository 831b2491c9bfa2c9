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

  private static final long TIMEOUT_MILLIS = 2_000;

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
    String last = "no instance given";
    for (Endpoint seed : seeds) {
      try {
        return get(seed, path, headers);
      } catch (CtlException e) {
        last = e.getMessage();
      }
    }
    throw new CtlException(ExitCode.UNREACHABLE, last);
  }

  JsonNode get(Endpoint endpoint, String path, Map<String, String> headers) {
    HttpCall call = HttpCall.get(uri(endpoint, path), TIMEOUT_MILLIS);
    for (Map.Entry<String, String> header : headers.entrySet()) {
      call = call.with(header.getKey(), header.getValue());
    }
    try {
      HttpReply reply = http.call("instance", call).join();
      if (!reply.isSuccess()) {
        throw new CtlException(
            ExitCode.UNREACHABLE, endpoint + " answered " + reply.status() + " " + reply.body());
      }
      return Mappers.json().readTree(reply.body());
    } catch (CompletionException e) {
      throw new CtlException(ExitCode.UNREACHABLE, e.getCause().getMessage());
    } catch (JsonProcessingException e) {
      throw new CtlException(ExitCode.UNREACHABLE, endpoint + " gave a malformed answer");
    }
  }

  /** Returns the metrics of an instance on the users' platform, or empty if it does not answer. */
  Optional<String> metrics(Endpoint endpoint) {
    try {
      HttpReply reply =
          http.call("metrics", HttpCall.get(uri(endpoint, "/metrics"), TIMEOUT_MILLIS)).join();
      return reply.isSuccess() ? Optional.of(reply.body()) : Optional.empty();
    } catch (CompletionException e) {
      System.err.println(endpoint + ": " + e.getCause().getMessage());
      return Optional.empty();
    }
  }

  /** Returns the status of every live instance, by its endpoint; null for one that is silent. */
  Map<Endpoint, JsonNode> statusOfAll(String operatorKey) {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + operatorKey);
    JsonNode first = getFromAny("/ops/v1/status", headers);
    Map<Endpoint, JsonNode> all = new LinkedHashMap<>();
    for (JsonNode member : first.path("members")) {
      Endpoint endpoint = Endpoint.parse(member.path("callers").asText());
      try {
        all.put(endpoint, get(endpoint, "/ops/v1/status", headers));
      } catch (CtlException e) {
        all.put(endpoint, null);
      }
    }
    return all;
  }
}

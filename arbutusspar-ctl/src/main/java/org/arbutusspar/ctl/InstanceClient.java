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

/** HTTP client for the status, address and metrics endpoints of entry instances. */
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

  /**
   * Sends a GET request to one seed after another until one responds with success.
   *
   * @param path path and query of the resource
   * @param headers request headers
   * @return JSON body of the first successful response
   * @throws CtlException if no seed responds with success
   */
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

  /**
   * Sends a GET request to an instance.
   *
   * @param endpoint the instance
   * @param path path and query of the resource
   * @param headers request headers
   * @return JSON body of the response
   * @throws CtlException if the instance does not respond with success and valid JSON
   */
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
      throw new CtlException(ExitCode.UNREACHABLE, endpoint + " gave a malformed response");
    }
  }

  /**
   * Returns the metrics of an instance on the users' platform. A failure to connect is printed to
   * standard error.
   *
   * @param endpoint metrics address of the instance
   * @return metrics in the Prometheus text format, or empty if it does not respond with success
   */
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

  /**
   * Returns the status of every live instance, as listed by the first seed that responds.
   *
   * @param operatorKey key that authorises the requests
   * @return status by endpoint; the value is null for an instance that does not respond
   * @throws CtlException if no seed responds
   */
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

package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.StepException;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;

/**
 * Caches the addresses that instances recommend to a caller, for as long as the response allows.
 * Safe for use by several threads.
 */
final class AddressCache {

  private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

  private final HttpCaller http;
  private final List<Endpoint> seeds;
  private final String query;
  private List<CallerAddress> addresses = List.of();
  private long expiryNanos;
  private int nextSeedIndex;
  private CompletableFuture<List<CallerAddress>> pendingFetch;

  private AddressCache(HttpCaller http, List<Endpoint> seeds, String dataCentre) {
    this.http = http;
    this.seeds = List.copyOf(seeds);
    this.query = dataCentre.isEmpty() ? "" : "?dc=" + dataCentre;
  }

  /**
   * Creates an empty cache.
   *
   * @param http HTTP client, not null
   * @param seeds instances that are queried for addresses, in turn
   * @param dataCentre data centre of the caller; empty if it has none
   * @return the cache
   */
  static AddressCache create(HttpCaller http, List<Endpoint> seeds, String dataCentre) {
    return new AddressCache(
        Objects.requireNonNull(http, "http"), seeds, Objects.requireNonNull(dataCentre));
  }

  /**
   * Returns the addresses to use, best first. Fetches them if the cache is empty or expired; calls
   * during a fetch share its result.
   */
  synchronized CompletableFuture<List<CallerAddress>> get() {
    if (!addresses.isEmpty() && System.nanoTime() < expiryNanos) {
      return CompletableFuture.completedFuture(addresses);
    }
    if (pendingFetch == null) {
      CompletableFuture<List<CallerAddress>> fetched = fetch(0);
      pendingFetch = fetched;
      fetched.whenComplete((list, failure) -> clearPendingFetch());
      return fetched;
    }
    return pendingFetch;
  }

  /** Removes an address at which a request failed. */
  synchronized void remove(CallerAddress address) {
    addresses = addresses.stream().filter(known -> !known.equals(address)).toList();
  }

  /** Removes all addresses, so that the next call fetches them again. */
  synchronized void clear() {
    addresses = List.of();
  }

  private synchronized void clearPendingFetch() {
    pendingFetch = null;
  }

  /** Queries the next seed; goes on to further seeds until each has failed once. */
  private CompletableFuture<List<CallerAddress>> fetch(int tries) {
    Endpoint seed = seeds.get(Math.floorMod(nextSeedIndex++, seeds.size()));
    HttpCall call =
        HttpCall.get(InstanceClient.uri(seed, "/v1/addresses" + query), REQUEST_TIMEOUT_MILLIS);
    return http.call("addresses", call)
        .thenApply(response -> store(seed, response))
        .exceptionallyCompose(
            failure ->
                tries + 1 < seeds.size()
                    ? fetch(tries + 1)
                    : CompletableFuture.failedFuture(failure));
  }

  private synchronized List<CallerAddress> store(Endpoint seed, HttpReply response) {
    try {
      JsonNode node = Mappers.json().readTree(response.body());
      List<CallerAddress> list = new ArrayList<>();
      for (JsonNode each : node.path("addresses")) {
        list.add(
            new CallerAddress(
                Endpoint.parse(each.path("endpoint").asText()), each.path("prefix").asText()));
      }
      if (list.isEmpty()) {
        throw new StepException("addresses", seed.toString(), "response lists no instance", null);
      }
      addresses = List.copyOf(list);
      expiryNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(node.path("keepMs").asLong());
      return addresses;
    } catch (JsonProcessingException e) {
      throw new StepException("addresses", seed.toString(), "malformed response", e);
    }
  }
}

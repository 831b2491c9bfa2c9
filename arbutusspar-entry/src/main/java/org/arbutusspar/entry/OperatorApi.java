package org.arbutusspar.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.codec.Sha256;
import org.arbutusspar.io.http.Exchange;

/**
 * HTTP API for operators and monitoring. Health, readiness and metrics are open; the status, the
 * configuration and the status page need the operators' key. Thread-safe.
 */
final class OperatorApi {

  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int UNAVAILABLE = 503;

  private final String keySha256;
  private final DecisionRuntime runtime;
  private final DecisionLoop loop;
  private final PeerLinks peers;
  private final ConfigSync config;
  private final EntryMetrics metrics;
  private final Readiness readiness;

  private OperatorApi(
      String keySha256,
      DecisionRuntime runtime,
      DecisionLoop loop,
      PeerLinks peers,
      ConfigSync config,
      EntryMetrics metrics,
      Readiness readiness) {
    this.keySha256 = keySha256;
    this.runtime = runtime;
    this.loop = loop;
    this.peers = peers;
    this.config = config;
    this.metrics = metrics;
    this.readiness = readiness;
  }

  /**
   * Returns the API of an instance.
   *
   * @param keySha256 SHA-256 hash of the operators' key in lower-case hexadecimal, not null
   * @param runtime source of the coordinator's status, not null
   * @param loop loop of the decision thread, not null
   * @param peers source of the membership, not null
   * @param config source of the configuration, not null
   * @param metrics metrics to expose, not null
   * @param readiness source of the readiness, not null
   * @return the API
   */
  static OperatorApi create(
      String keySha256,
      DecisionRuntime runtime,
      DecisionLoop loop,
      PeerLinks peers,
      ConfigSync config,
      EntryMetrics metrics,
      Readiness readiness) {
    return new OperatorApi(
        Objects.requireNonNull(keySha256, "keySha256"),
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(peers, "peers"),
        Objects.requireNonNull(config, "config"),
        Objects.requireNonNull(metrics, "metrics"),
        Objects.requireNonNull(readiness, "readiness"));
  }

  /** Readiness of an instance to serve requests. */
  interface Readiness {

    /**
     * Returns why the instance is not ready, or an empty text if it is. Called on the decision
     * thread.
     */
    String notReadyReason();
  }

  /**
   * Handles an exchange if its method and path belong to this API.
   *
   * @param exchange the exchange, not null
   * @return false if the exchange was not handled and has no response yet
   */
  boolean handle(Exchange exchange) {
    if (!exchange.method().equals("GET")) {
      return false;
    }
    switch (exchange.path()) {
      case "/healthz" -> exchange.reply(OK, Map.of(), "{\"status\":\"up\"}");
      case "/readyz" -> loop.post(() -> replyReadiness(exchange));
      case "/metrics" ->
          exchange.reply(OK, "text/plain; version=0.0.4", Map.of(), metrics.scrape());
      case "/ops/v1/status" -> runForOperator(exchange, () -> replyStatus(exchange));
      case "/ops/v1/config" -> runForOperator(exchange, () -> replyConfig(exchange));
      case "/" -> runForOperator(exchange, () -> replyPage(exchange));
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Queues a task for the decision thread, or responds 401 if the operators' key is not sent. */
  private void runForOperator(Exchange exchange, Runnable task) {
    if (isOperator(exchange)) {
      loop.post(task);
    } else {
      exchange.reply(
          UNAUTHORIZED,
          Map.of("WWW-Authenticate", "Basic realm=\"arbutusspar\""),
          "{\"error\":\"operators' key is missing or wrong\"}");
    }
  }

  private boolean isOperator(Exchange exchange) {
    return exchange
        .header("Authorization")
        .flatMap(OperatorApi::presentedKey)
        .map(Sha256::hex)
        .filter(hash -> MessageDigest.isEqual(bytes(hash), bytes(keySha256)))
        .isPresent();
  }

  /**
   * Returns the key in an Authorization header field: the bearer token, or the password of basic
   * authentication, which browsers use for the status page. The user name is ignored.
   */
  private static Optional<String> presentedKey(String authorization) {
    String bearer = "Bearer ";
    String basic = "Basic ";
    if (authorization.startsWith(bearer)) {
      return Optional.of(authorization.substring(bearer.length()));
    }
    if (!authorization.startsWith(basic)) {
      return Optional.empty();
    }
    try {
      byte[] decoded = Base64.getDecoder().decode(authorization.substring(basic.length()));
      String pair = new String(decoded, StandardCharsets.UTF_8);
      return Optional.of(pair.substring(pair.indexOf(':') + 1));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void replyReadiness(Exchange exchange) {
    String reason = readiness.notReadyReason();
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("ready", reason.isEmpty());
    if (!reason.isEmpty()) {
      node.put("reason", reason);
    }
    exchange.reply(reason.isEmpty() ? OK : UNAVAILABLE, Map.of(), node.toString());
  }

  private void replyConfig(Exchange exchange) {
    try {
      exchange.reply(OK, Map.of(), Mappers.json().writeValueAsString(config.state()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("configuration cannot be written", e);
    }
  }

  private void replyStatus(Exchange exchange) {
    exchange.reply(OK, Map.of(), status().toString());
  }

  private void replyPage(Exchange exchange) {
    exchange.reply(OK, "text/html; charset=utf-8", Map.of(), StatusPage.render(status()));
  }

  /**
   * Returns the status for the status page and the command line. The field {@code obstacle} is
   * {@link ConfigSync#blockedReason()}.
   */
  private ObjectNode status() {
    ObjectNode node = Mappers.json().createObjectNode();
    MemberRecord self = peers.self();
    node.put("instance", self.instance().value());
    node.put("incarnation", Long.toHexString(self.home().incarnation()));
    node.put("dataCentre", self.dataCentre().value());
    node.put("revision", config.revision());
    node.put("obstacle", config.blockedReason());
    node.put("notReady", readiness.notReadyReason());
    node.set("load", Mappers.json().valueToTree(runtime.coordinator().status()));
    node.put("links", peers.linkCount());
    addMembers(node.putArray("members"));
    addPools(node.putArray("services"));
    return node;
  }

  private void addMembers(ArrayNode members) {
    for (MemberRecord member : peers.membership().serving()) {
      boolean own = member.home().equals(peers.self().home());
      long revision = own ? config.revision() : peers.revisionOf(member.home());
      members
          .addObject()
          .put("instance", member.instance().value())
          .put("status", member.status().name().toLowerCase(Locale.ROOT))
          .put("dataCentre", member.dataCentre().value())
          .put("callers", member.callers().toString())
          .put("revision", revision);
    }
  }

  private void addPools(ArrayNode services) {
    long nowNanos = System.nanoTime();
    for (Pool pool : runtime.coordinator().pools()) {
      ObjectNode service = services.addObject();
      service.put("service", pool.service().name().value());
      service.put("inFlight", pool.inFlight());
      service.put("capacity", pool.capacity(nowNanos));
      ArrayNode replicas = service.putArray("replicas");
      for (Replica replica : pool.replicas()) {
        replicas
            .addObject()
            .put("replica", replica.listed().id().value())
            .put("dataCentre", replica.listed().dataCentre().value())
            .put("state", stateOf(replica, nowNanos))
            .put("inFlight", replica.inFlight())
            .put("limit", replica.limit())
            .put("slowness", Math.round(replica.slowness() * 100) / 100.0);
      }
    }
  }

  /** Returns the state of a replica; {@code not heard} if its load report is missing or too old. */
  private static String stateOf(Replica replica, long nowNanos) {
    if (replica.isLeaving()) {
      return "leaving";
    }
    if (replica.isEjected(nowNanos)) {
      return "ejected";
    }
    return replica.isReportFresh(nowNanos) ? "live" : "not heard";
  }
}

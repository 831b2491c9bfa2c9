package org.arbutusspar.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.HttpHost;
import org.arbutusspar.io.platform.Listing;

/**
 * Stand-in for the platform: serves the configuration log and the list of instances and replicas
 * over HTTP.
 *
 * <p>{@code POST /admin/fault?name=value} sets a fault:
 *
 * <ul>
 *   <li>{@code log=up|down}: the log responds with status 503 while it is down
 *   <li>{@code logLosesAnswers=true|false}: records are appended, but the connection is closed
 *       without a response
 *   <li>{@code logDelayMs=N}: delay of each response of the log, in milliseconds
 *   <li>{@code logRetain=N}: number of newest records that the log retains
 *   <li>{@code list=up|down}: the list responds with status 503 while it is down
 *   <li>{@code listLagMs=N}: time until a later change of the list becomes visible, in milliseconds
 *   <li>{@code silenceConnections=now}: no more responses on the connections that exist now, except
 *       to {@code /admin/} requests; new connections work
 * </ul>
 *
 * <p>{@code POST /admin/leaving?replica=ID} marks a replica as leaving, and {@code POST
 * /admin/remove?replica=ID} removes it from the list.
 */
public final class PlatformStandin implements AutoCloseable {

  private static final int THREADS = 16;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_MODIFIED = 304;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int DEFAULT_PAGE_RECORDS = 500;
  private static final String DOWN = "down";

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final LogStandin log = LogStandin.create(timer);
  private final ListStandin list;
  private final HttpHost host;

  /** Connections established until this time, in milliseconds since the epoch, get no response. */
  private volatile long silentBeforeMillis;

  private PlatformStandin(Endpoint endpoint, Listing listing) {
    list = ListStandin.create(listing, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    host = HttpHost.start("platform", List.of(endpoint), THREADS, this::handle);
  }

  /**
   * Starts a stand-in.
   *
   * @param endpoint endpoint to listen at, not null
   * @param listing initial list of instances and replicas, not null
   * @return the stand-in; the caller closes it
   */
  public static PlatformStandin start(Endpoint endpoint, Listing listing) {
    return new PlatformStandin(endpoint, listing);
  }

  private void handle(Exchange exchange) {
    boolean silent = exchange.connectedAtMillis() <= silentBeforeMillis;
    if (silent && !exchange.path().startsWith("/admin/")) {
      return;
    }
    switch (exchange.method() + " " + exchange.path()) {
      case "POST /v1/append" -> append(exchange);
      case "GET /v1/read" -> read(exchange);
      case "GET /v1/list" -> list(exchange);
      case "POST /admin/fault" -> applyFault(exchange);
      case "POST /admin/leaving" -> updateList(exchange, false);
      case "POST /admin/remove" -> updateList(exchange, true);
      default -> exchange.reply(STATUS_NOT_FOUND, Map.of(), "{}");
    }
  }

  /** Stops responding on all connections that exist now. */
  private void silenceConnections() {
    silentBeforeMillis = System.currentTimeMillis();
  }

  private void append(Exchange exchange) {
    if (log.isDown()) {
      exchange.reply(STATUS_UNAVAILABLE, Map.of(), "{}");
      return;
    }
    long offset = log.append(exchange.body());
    if (log.dropsAppendResponses()) {
      exchange.abort();
      return;
    }
    timer.schedule(
        () -> exchange.reply(STATUS_OK, Map.of(), "{\"offset\":" + offset + "}"),
        log.delayMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void read(Exchange exchange) {
    if (log.isDown()) {
      exchange.reply(STATUS_UNAVAILABLE, Map.of(), "{}");
      return;
    }
    long from = longParameter(exchange, "from", 1);
    int maxRecords = (int) longParameter(exchange, "limit", DEFAULT_PAGE_RECORDS);
    long waitMillis = longParameter(exchange, "waitMs", 0);
    log.read(from, maxRecords, waitMillis, page -> replyAfterDelay(exchange, json(page)));
  }

  private void replyAfterDelay(Exchange exchange, String json) {
    boolean down = log.isDown();
    timer.schedule(
        () -> exchange.reply(down ? STATUS_UNAVAILABLE : STATUS_OK, Map.of(), json),
        log.delayMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void list(Exchange exchange) {
    if (list.isDown()) {
      exchange.reply(STATUS_UNAVAILABLE, Map.of(), "{}");
      return;
    }
    ListStandin.Version version = list.visible();
    String entityTag = "\"" + version.number() + "\"";
    if (exchange.header("If-None-Match").filter(entityTag::equals).isPresent()) {
      exchange.reply(STATUS_NOT_MODIFIED, Map.of("ETag", entityTag), "");
    } else {
      exchange.reply(STATUS_OK, Map.of("ETag", entityTag), json(version.listing()));
    }
  }

  private void applyFault(Exchange exchange) {
    exchange.query("log").ifPresent(v -> log.setDown(v.equals(DOWN)));
    exchange
        .query("logLosesAnswers")
        .ifPresent(v -> log.setDropsAppendResponses(Boolean.parseBoolean(v)));
    exchange.query("logDelayMs").ifPresent(v -> log.setDelayMillis(Long.parseLong(v)));
    exchange.query("silenceConnections").ifPresent(v -> silenceConnections());
    exchange.query("logRetain").ifPresent(v -> log.setRetainedRecords(Integer.parseInt(v)));
    exchange.query("list").ifPresent(v -> list.setDown(v.equals(DOWN)));
    exchange.query("listLagMs").ifPresent(v -> list.setLagMillis(Long.parseLong(v)));
    exchange.reply(STATUS_OK, Map.of(), "{}");
  }

  private void updateList(Exchange exchange, boolean remove) {
    exchange.query("replica").ifPresent(id -> list.updateReplica(id, remove));
    exchange.reply(STATUS_OK, Map.of(), "{}");
  }

  private static long longParameter(Exchange exchange, String name, long defaultValue) {
    return exchange.query(name).map(Long::parseLong).orElse(defaultValue);
  }

  private static String json(Object value) {
    try {
      return Mappers.json().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    host.close();
    timer.shutdownNow();
  }
}

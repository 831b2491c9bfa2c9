package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.platform.AddressQuery;
import org.arbutusspar.platform.PlatformSettings;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP endpoints of an instance besides that for client requests: readiness, the addresses of
 * instances, and metrics.
 */
final class PublicEndpoints {

  /**
   * Maximum time for which clients may cache an address response, in milliseconds. It is short so
   * that clients soon discover instances that have joined or left.
   */
  private static final long MAX_ADDRESS_TTL_MILLIS = 2_000;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final EventLoop loop;
  private final PeerTable peers;
  private final GatewayMetrics metrics;
  private final PlatformSettings.Bounds bounds;
  private final BooleanSupplier ready;

  private PublicEndpoints(
      EventLoop loop,
      PeerTable peers,
      GatewayMetrics metrics,
      PlatformSettings.Bounds bounds,
      BooleanSupplier ready) {
    this.loop = loop;
    this.peers = peers;
    this.metrics = metrics;
    this.bounds = bounds;
    this.ready = ready;
  }

  static PublicEndpoints create(
      EventLoop loop,
      PeerTable peers,
      GatewayMetrics metrics,
      PlatformSettings.Bounds bounds,
      BooleanSupplier ready) {
    return new PublicEndpoints(loop, peers, metrics, bounds, ready);
  }

  /**
   * Responds with status 200 if this instance accepts requests and with 503 otherwise. Unknown
   * paths get 404.
   */
  void readiness(Request request, Response response, Callback callback) {
    boolean knownPath = request.getHttpURI().getPath().equals(AddressQuery.READINESS_PATH);
    int status = !knownPath ? NOT_FOUND : ready.getAsBoolean() ? OK : SERVICE_UNAVAILABLE;
    ClientExchange.create(request, response, callback)
        .respond(status, List.of(), ByteBuffer.allocate(0));
  }

  /**
   * Responds with the addresses to which clients may connect, those in the data centre of the query
   * first, or in this instance's data centre if the query names none. Responds with 503 if there
   * are none.
   */
  void addresses(Request request, Response response, Callback callback) {
    ClientExchange exchange = ClientExchange.create(request, response, callback);
    if (!request.getHttpURI().getPath().equals(AddressQuery.PATH)) {
      exchange.respond(NOT_FOUND, List.of(), ByteBuffer.allocate(0));
      return;
    }
    String query = request.getHttpURI().getQuery();
    loop.post(
        () -> {
          DataCentre preferred = AddressQuery.dataCentre(query).orElse(peers.self().dataCentre());
          List<Endpoint> endpoints =
              peers.forClients(preferred, loop.now()).stream()
                  .limit(AddressQuery.MAX_ADDRESSES)
                  .map(Peer::clients)
                  .toList();
          if (endpoints.isEmpty()) {
            exchange.respond(SERVICE_UNAVAILABLE, List.of(), ByteBuffer.allocate(0));
            return;
          }
          byte[] body = AddressQuery.response(endpoints, addressTtlMillis());
          exchange.respond(
              OK,
              List.of(new HeaderField("Content-Type", "application/json")),
              ByteBuffer.wrap(body));
        });
  }

  private long addressTtlMillis() {
    return Math.min(MAX_ADDRESS_TTL_MILLIS, bounds.maxAddressTtlMillis());
  }

  /** Responds with the metrics in the Prometheus text format. */
  void metrics(Request request, Response response, Callback callback) {
    ClientExchange.create(request, response, callback)
        .respond(
            OK,
            List.of(new HeaderField("Content-Type", "text/plain; version=0.0.4")),
            ByteBuffer.wrap(metrics.text()));
  }
}

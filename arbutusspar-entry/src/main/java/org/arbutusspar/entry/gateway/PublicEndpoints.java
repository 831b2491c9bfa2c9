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

/** Answers what the platform and clients ask of an instance besides requests. */
final class PublicEndpoints {

  /** How long clients keep an address answer. */
  private static final long ADDRESS_LIFE_MILLIS = 2_000;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final PeerTable peers;
  private final GatewayMetrics figures;
  private final PlatformSettings.Bounds bounds;
  private final BooleanSupplier ready;

  private PublicEndpoints(
      EventLoop loop,
      PeerTable peers,
      GatewayMetrics figures,
      PlatformSettings.Bounds bounds,
      BooleanSupplier ready) {
    this.loop = loop;
    this.peers = peers;
    this.figures = figures;
    this.bounds = bounds;
    this.ready = ready;
  }

  static PublicEndpoints create(
      EventLoop loop,
      PeerTable peers,
      GatewayMetrics figures,
      PlatformSettings.Bounds bounds,
      BooleanSupplier ready) {
    return new PublicEndpoints(loop, peers, figures, bounds, ready);
  }

  /** Answers whether this instance takes requests. */
  void readiness(Request request, Response response, Callback callback) {
    boolean known = request.getHttpURI().getPath().equals(AddressQuery.READINESS_PATH);
    int status = !known ? NOT_FOUND : ready.getAsBoolean() ? OK : UNAVAILABLE;
    ClientExchange.create(request, response, callback)
        .reply(status, List.of(), ByteBuffer.allocate(0));
  }

  /** Answers which instances clients may connect to. */
  void addresses(Request request, Response response, Callback callback) {
    ClientExchange exchange = ClientExchange.create(request, response, callback);
    if (!request.getHttpURI().getPath().equals(AddressQuery.PATH)) {
      exchange.reply(NOT_FOUND, List.of(), ByteBuffer.allocate(0));
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
            exchange.reply(UNAVAILABLE, List.of(), ByteBuffer.allocate(0));
            return;
          }
          byte[] body = AddressQuery.response(endpoints, addressLifeMillis());
          exchange.reply(
              OK,
              List.of(new HeaderField("Content-Type", "application/json")),
              ByteBuffer.wrap(body));
        });
  }

  /** Short, so that clients learn soon of instances that came or left. */
  private long addressLifeMillis() {
    return Math.min(ADDRESS_LIFE_MILLIS, bounds.maxAddressTtlMillis());
  }

  /** Shows the metrics. */
  void metrics(Request request, Response response, Callback callback) {
    ClientExchange.create(request, response, callback)
        .reply(
            OK,
            List.of(new HeaderField("Content-Type", "text/plain; version=0.0.4")),
            ByteBuffer.wrap(figures.text()));
  }
}

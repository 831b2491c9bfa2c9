package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.arbutusspar.core.route.Endpoint;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.SettingsException;
import org.arbutusspar.platform.SettingsFile;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Runs an instance on loopback against a store and a replica in the same process, and sends it a
 * few requests, so that a class archive made at the end of the process holds the classes that an
 * instance needs. A start with such an archive takes about half of the processor time.
 */
final class ClassTraining {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int THREADS = 12;
  private static final int REQUESTS = 40;
  private static final long STEP_MILLIS = 50;
  private static final int STEPS = 60;
  private static final long CALL_MILLIS = 3_000;
  private static final int OK = 200;

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[
      {"name":"p","host":"h","path_prefix":"/p/","route_type":"idempotent","timeout_ms":2000,
       "target_latency_ms":500,"service":"s","max_attempts":2},
      {"name":"s","host":"h","path_prefix":"/s/","route_type":"streaming","timeout_ms":2000,
       "target_latency_ms":1500,"service":"s","max_attempts":1,
       "stages":[{"service":"w","after":[],"bytes":10}]}],
      "services":[{"name":"s","engine":{"slots":8}},
      {"name":"w","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"room_mb":1,
       "handle_s":4}}],
      "tenants":[{"name":"t","api_keys":["k"],"priority":1}]}
      """;

  private static final String REPLICA =
      """
      {"service":"%s","address":"%s","zone":"a","slots":8,"state":"ready","born":1}
      """;

  private static final String PIECES = "{\"items\":[{\"handle\":\"127.0.0.1:1/x\"}]}";

  private final List<Integer> ports;

  private ClassTraining(List<Integer> ports) {
    this.ports = ports;
  }

  /** Runs the training. */
  static void run() throws IOException, SettingsException, InterruptedException {
    new ClassTraining(freePorts(6)).train();
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private void train() throws SettingsException, InterruptedException {
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setStopTimeout(STEP_MILLIS);
    try (StreamHost upstream = StreamHost.create(threads);
        RawClient client = RawClient.start(LOOPBACK, threads, CALL_MILLIS, CALL_MILLIS)) {
      upstream.add(endpoint(4), this::answerAsStore);
      upstream.add(endpoint(5), ClassTraining::answerAsReplica);
      upstream.start();
      try (Gateway gateway = Gateway.start(settings())) {
        awaitReady(client);
        for (int i = 0; i < REQUESTS; i++) {
          client.fetch("train", request(i)).join();
          client.fetch("train", get(endpoint(2), "/resolve?zone=a")).join();
        }
        gateway.leave("training");
      }
    }
  }

  private void awaitReady(RawClient client) throws InterruptedException {
    for (int i = 0; i < STEPS; i++) {
      RawReply reply = client.fetch("train", get(endpoint(1), "/readyz")).join();
      if (reply.status() == OK) {
        return;
      }
      Thread.sleep(STEP_MILLIS);
    }
  }

  private Endpoint endpoint(int index) {
    return new Endpoint(LOOPBACK, ports.get(index));
  }

  private PlatformSettings settings() throws SettingsException {
    String text =
        """
        node_name=training
        ip=127.0.0.1
        zone=a
        listen.frontend=127.0.0.1:%d
        listen.readiness=127.0.0.1:%d
        listen.directory=127.0.0.1:%d
        internal_port_range=%d
        platform.address=127.0.0.1:%d
        """
            .formatted(ports.get(0), ports.get(1), ports.get(2), ports.get(3), ports.get(4));
    return SettingsFile.parse(new StringReader(text));
  }

  private RawCall request(int number) {
    List<HeaderField> fields =
        List.of(
            new HeaderField("Host", "h"),
            new HeaderField("X-Attempt-Id", "training-" + number),
            new HeaderField("X-Deadline-Ms", "2000"),
            new HeaderField("X-Prompt-Prefix", "a:1,b:2"),
            new HeaderField("X-Pieces", "1"),
            new HeaderField("X-Piece-Key", "k"),
            new HeaderField("Api-Key", "k"));
    String target = (number % 2 == 0 ? "/p/" : "/s/") + number;
    return new RawCall("POST", endpoint(0), target, fields, new byte[100], CALL_MILLIS, true);
  }

  private static RawCall get(Endpoint endpoint, String target) {
    List<HeaderField> fields = List.of(new HeaderField("Host", endpoint.toString()));
    return new RawCall("GET", endpoint, target, fields, new byte[0], CALL_MILLIS, true);
  }

  private void answerAsStore(Request request, Response response, Callback callback) {
    String target = request.getHttpURI().getPathQuery();
    if (target.startsWith("/log-newest")) {
      reply(response, callback, newest(target).getBytes(StandardCharsets.UTF_8));
    } else if (target.startsWith("/log-read")) {
      reply(response, callback, new byte[16]);
    } else {
      reply(response, callback, "{}".getBytes(StandardCharsets.UTF_8));
    }
  }

  private String newest(String target) {
    List<String> items = new ArrayList<>();
    if (target.contains("keyed.op")) {
      items.add(item("config", CONFIGURATION));
    } else if (target.contains("keyed.servers")) {
      items.add(item("i-1", REPLICA.formatted("s", endpoint(5))));
      items.add(item("i-2", REPLICA.formatted("w", endpoint(5))));
    }
    String joined = String.join(",", items);
    return "{\"items\":[%s],\"has_more\":false,\"end\":1}".formatted(joined);
  }

  private static String item(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":0}".formatted(key, encoded);
  }

  private static void answerAsReplica(Request request, Response response, Callback callback) {
    if (request.getHttpURI().getPath().equals("/stage-run")) {
      reply(response, callback, PIECES.getBytes(StandardCharsets.UTF_8));
      return;
    }
    String id = request.getHeaders().get("X-Attempt-Id");
    response.getHeaders().put("X-Attempt-Id", id == null ? "" : id);
    response.getHeaders().put("X-Response-Signature", "training");
    response.getHeaders().put("X-Server-Load", "1,0,8");
    reply(response, callback, "data: x\n\n".getBytes(StandardCharsets.UTF_8));
  }

  private static void reply(Response response, Callback callback, byte[] body) {
    response.setStatus(OK);
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}

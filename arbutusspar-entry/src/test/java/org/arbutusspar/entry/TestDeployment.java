package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.config.ChangeId;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.config.LogRecord;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.io.codec.LogRecordCodec;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.codec.Sha256;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpReply;
import org.arbutusspar.io.link.LinkSecret;
import org.arbutusspar.io.platform.Listing;
import org.arbutusspar.standins.PlatformStandin;
import org.arbutusspar.standins.ReplicaKind;
import org.arbutusspar.standins.UpstreamStandin;

/**
 * A deployment in one process, over real sockets on loopback: instances, a stand-in for the
 * platform, and stand-ins for two replicas of each of four services.
 */
final class TestDeployment implements AutoCloseable {

  static final String OPERATOR_KEY = "operator-key";

  private static final DataCentre DATA_CENTRE = DataCentre.of("here");
  private static final int REPLICAS_PER_SERVICE = 2;
  private static final Map<String, ReplicaKind> REPLICA_KINDS =
      Map.of(
          "enc", ReplicaKind.ENCODE,
          "ret", ReplicaKind.RETRIEVE,
          "gen", ReplicaKind.GENERATE,
          "plain", ReplicaKind.PLAIN);

  private static final AtomicInteger DEPLOYMENT_COUNT = new AtomicInteger();
  private static final int FIRST_PORT = 20_000;
  private static final long LEAVE_MILLIS = 3_000;

  /**
   * Loopback IP address of this deployment. It differs from that of other deployments and, as far
   * as the process id allows, of other processes. Ports are taken from {@link #FIRST_PORT} on,
   * below the range of ephemeral ports, so that no outgoing connection occupies one.
   */
  private final String host =
      "127."
          + (100 + ProcessHandle.current().pid() % 100)
          + "."
          + DEPLOYMENT_COUNT.incrementAndGet() % 250
          + ".1";

  private int nextPort = FIRST_PORT;

  final HttpCaller http = HttpCaller.start("test", "", 8);
  final List<Listing.ListedInstance> instances = new ArrayList<>();
  final List<ListedReplica> replicas = new ArrayList<>();
  final List<EntryDaemon> daemons = new ArrayList<>();
  final Endpoint platformEndpoint;
  final PlatformStandin platform;
  final UpstreamStandin upstream;

  private TestDeployment(int count, boolean instant) throws IOException {
    for (int i = 0; i < count; i++) {
      instances.add(
          new Listing.ListedInstance(
              InstanceId.of("entry-" + i), unusedEndpoint(), unusedEndpoint(), DATA_CENTRE));
    }
    for (String service : REPLICA_KINDS.keySet().stream().sorted().toList()) {
      for (int i = 0; i < REPLICAS_PER_SERVICE; i++) {
        replicas.add(
            new ListedReplica(
                ReplicaId.of(service + "-" + i),
                ObjectName.of(service),
                unusedEndpoint(),
                DATA_CENTRE,
                false));
      }
    }
    platformEndpoint = unusedEndpoint();
    platform = PlatformStandin.start(platformEndpoint, new Listing(instances, replicas));
    upstream =
        UpstreamStandin.start(
            new UpstreamStandin.Options(replicas, REPLICA_KINDS, (a, b) -> 0, instant));
  }

  /**
   * Starts a deployment whose replicas respond without a service time, and waits until it is
   * configured and ready.
   *
   * @param count number of instances
   * @return the deployment, to be closed by the caller
   */
  static TestDeployment start(int count) throws IOException {
    return start(count, true);
  }

  /**
   * Starts a deployment and waits until it is configured and ready.
   *
   * @param count number of instances
   * @param instant whether replicas respond without a service time
   * @return the deployment, to be closed by the caller
   */
  static TestDeployment start(int count, boolean instant) throws IOException {
    TestDeployment deployment = new TestDeployment(count, instant);
    for (int i = 0; i < count; i++) {
      deployment.daemons.add(deployment.startDaemon(i));
    }
    deployment.append(deployment.change(initialObjects()));
    for (int i = 0; i < count; i++) {
      int instance = i;
      await(() -> deployment.isReady(instance, count));
    }
    return deployment;
  }

  /**
   * Returns whether an instance has the configuration, load reports of all replicas, and links to
   * all other instances.
   */
  private boolean isReady(int instance, int count) {
    JsonNode status = status(instance);
    boolean allReplicasHeard =
        status.path("services").size() == REPLICA_KINDS.size()
            && !status.toString().contains("not heard");
    return allReplicasHeard
        && status.path("revision").asLong() >= 1
        && status.path("members").size() == count
        && status.path("links").asInt() == count - 1;
  }

  /** Starts the instance with an index, also again after it was closed. */
  EntryDaemon startDaemon(int index) {
    Listing.ListedInstance instance = instances.get(index);
    URI platformUri = URI.create("http://" + platformEndpoint);
    return EntryDaemon.start(
        new DaemonSettings(
            instance.id(),
            DATA_CENTRE,
            instance.callers(),
            instance.links(),
            platformUri,
            platformUri,
            LinkSecret.of("a-secret-of-sixteen-bytes"),
            Sha256.hex(OPERATOR_KEY),
            LEAVE_MILLIS));
  }

  /** Returns an endpoint of this deployment with the next port that is free. */
  private Endpoint unusedEndpoint() throws IOException {
    while (true) {
      int port = nextPort++;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        return new Endpoint(host, socket.getLocalPort());
      } catch (BindException e) {
        // The port is in use: try the next one.
      }
    }
  }

  private static Service service(String name, StageKind kind) {
    boolean plain = kind == StageKind.PLAIN;
    return new Service(
        ObjectName.of(name),
        kind,
        plain ? "" : "m",
        plain ? "/run" : "",
        16,
        new CostPrior(5, 0, 1),
        false,
        true,
        kind == StageKind.RETRIEVE ? 10 : 0);
  }

  /**
   * Returns the configuration: four services, the pipeline "chat" and the workspaces one and two.
   */
  static List<ConfigObject> initialObjects() {
    return List.of(
        service("enc", StageKind.ENCODE),
        service("ret", StageKind.RETRIEVE),
        service("gen", StageKind.GENERATE),
        service("plain", StageKind.PLAIN),
        new Pipeline(
            ObjectName.of("chat"),
            6_000,
            List.of(
                new Stage(StageKind.ENCODE, ObjectName.of("enc"), 0),
                new Stage(StageKind.RETRIEVE, ObjectName.of("ret"), 3),
                new Stage(StageKind.GENERATE, ObjectName.of("gen"), 0))),
        workspace("one"),
        workspace("two"));
  }

  /** Returns a workspace whose API key is "key-" and its name. */
  static Workspace workspace(String name) {
    return new Workspace(ObjectName.of(name), Sha256.hex("key-" + name), 1);
  }

  /** Returns the log record of a change that creates objects. */
  String change(List<ConfigObject> objects) {
    return LogRecordCodec.encode(
        new LogRecord.Change(
            new ChangeId(UUID.randomUUID().toString()),
            "test",
            objects.stream().map(o -> new ObjectEdit(o.key(), 0, Optional.of(o))).toList()));
  }

  /** Appends a record to the platform's log. */
  void append(String record) {
    call(
        HttpCall.post(platformUri("/v1/append"), record, 2_000)
            .inPool("new")
            .onDedicatedConnection());
  }

  URI platformUri(String path) {
    return URI.create("http://" + platformEndpoint + path);
  }

  /** Switches a fault of the platform stand-in, such as {@code log=down}. */
  void platformFault(String query) {
    call(HttpCall.post(platformUri("/admin/fault?" + query), "", 2_000));
  }

  /** Switches a fault of a replica stand-in, such as {@code cutEvery=1}. */
  void replicaFault(String replica, String query) {
    URI uri =
        URI.create(
            "http://"
                + replicas.get(0).endpoint()
                + "/admin/fault?replica="
                + replica
                + "&"
                + query);
    call(HttpCall.post(uri, "", 2_000));
  }

  URI uri(int instance, String path) {
    return URI.create("http://" + instances.get(instance).callers() + path);
  }

  /** Makes a call and waits for its response. */
  HttpReply call(HttpCall call) {
    return http.call("test", call).join();
  }

  /** Returns the operators' status of an instance. */
  JsonNode status(int instance) {
    HttpCall call =
        HttpCall.get(uri(instance, "/ops/v1/status"), 2_000)
            .with("Authorization", "Bearer " + OPERATOR_KEY);
    return json(call(call));
  }

  static JsonNode json(HttpReply reply) {
    try {
      return Mappers.json().readTree(reply.body());
    } catch (IOException e) {
      throw new AssertionError("not JSON: " + reply.body(), e);
    }
  }

  /**
   * Returns an unused request identifier.
   *
   * @param instance index of the instance that is its home
   * @return the identifier
   */
  String newId(int instance) {
    JsonNode body = json(call(HttpCall.get(uri(instance, "/v1/addresses"), 2_000)));
    for (JsonNode address : body.path("addresses")) {
      if (address.path("endpoint").asText().equals(instances.get(instance).callers().toString())) {
        return address.path("prefix").asText() + "." + UUID.randomUUID();
      }
    }
    throw new AssertionError("instance is not listed: " + body);
  }

  /** Returns a non-repeatable call of the plain service, in workspace one. */
  HttpCall plainCall(int instance, String id, String body) {
    return HttpCall.post(uri(instance, "/v1/services/plain"), body, 5_000)
        .with("Authorization", "Bearer key-one")
        .with("Arbutus-Request-Id", id)
        .with("Arbutus-Deadline-Ms", "2000");
  }

  /** Returns a call of the pipeline "chat", in workspace one. */
  HttpCall chatCall(int instance, String text) {
    return HttpCall.post(
            uri(instance, "/v1/pipelines/chat"),
            "{\"question\":\"" + text + "\",\"maxTokens\":8}",
            8_000)
        .with("Authorization", "Bearer key-one");
  }

  /** Returns a query for the outcome of a plain call, with an API key. */
  HttpCall outcomeQuery(int instance, String id, String key) {
    return HttpCall.get(uri(instance, "/v1/requests/" + id + "?kind=service"), 5_000)
        .with("Authorization", "Bearer " + key);
  }

  /** Returns how often the replicas have run a plain call of workspace one. */
  int executionCount(String id) {
    URI uri = URI.create("http://" + replicas.get(0).endpoint() + "/admin/ledger");
    return call(HttpCall.get(uri, 2_000))
        .body()
        .lines()
        .filter(line -> line.endsWith(" one/" + id))
        .mapToInt(line -> Integer.parseInt(line.substring(0, line.indexOf(' '))))
        .sum();
  }

  /** Waits until a condition holds, and fails after 15 seconds. */
  static void await(Condition condition) {
    long endNanos = System.nanoTime() + 15_000_000_000L;
    while (!condition.holds()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("condition does not hold after 15 s");
      }
      sleep(20);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Override
  public void close() {
    daemons.forEach(EntryDaemon::close);
    upstream.close();
    platform.close();
    http.close();
  }

  /** Condition to wait for. */
  interface Condition {
    boolean holds();
  }
}

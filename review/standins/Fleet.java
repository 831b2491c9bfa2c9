package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The instances of a small deployment, started with the command of the deploy file. Each has a
 * loopback address and ports of its own and the settings that the pages show.
 */
final class Fleet implements AutoCloseable {

  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final int METRICS_PORT = 9464;

  private final Path root;
  private final Path folder;
  private final Store store;
  private final Record record;
  private final String network;
  private final List<Instance> instances = new CopyOnWriteArrayList<>();

  /** One instance and its process. */
  static final class Instance {
    String ip;
    String name;
    int clients;
    int readiness;
    int directory;
    Path settings;
    Path log;
    Process process;

    String address() {
      return ip + ":" + clients;
    }
  }

  Fleet(Path root, Path folder, Store store, Record record) {
    this.root = root;
    this.folder = folder;
    this.store = store;
    this.record = record;
    Random random = new Random();
    this.network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
  }

  /** Starts a number of instances and waits until all are ready. */
  List<Instance> start(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance();
      instance.ip = network + (11 + i);
      instance.name = "edge-antigua-" + (i + 1);
      instance.clients = freePort(instance.ip);
      instance.readiness = freePort(instance.ip);
      instance.directory = freePort(instance.ip);
      instances.add(instance);
    }
    try (ServerSocket probe =
        new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(instances.get(0).ip))) {
      // The port of the metrics is fixed; it is free at this address.
    }
    int links = freePort(instances.get(0).ip);
    for (Instance instance : instances) {
      writeSettings(instance, links);
      launch(instance);
    }
    long until = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
    for (Instance instance : instances) {
      while (!isReady(instance)) {
        if (System.nanoTime() - until > 0) {
          throw new IOException("instance " + instance.name + " did not become ready");
        }
        Thread.sleep(100);
      }
    }
    return instances;
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  private void writeSettings(Instance instance, int links) throws IOException {
    String text =
        """
        node_name=%1$s
        role=entry
        machine_class=edge
        serves=edge,registry
        ip=%2$s
        zone=antigua
        region=altiplano
        zones.antigua=altiplano
        listen.frontend=%2$s:%3$d
        listen.readiness=%2$s:%4$d
        listen.directory=%2$s:%5$d
        internal_port_range=%6$d,%7$d
        bootstrap=true
        loss_counts=false
        limits.cpu_share=0.75
        limits.cores=1
        limits.memory_mb=430
        limits.max_fds=4100
        limits.link_mbps=1000.0
        limits.disk_mb=0
        discovery=platform
        entry=registry
        heartbeat_ms=1200
        contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
        fault_tolerance.machines=2
        fault_tolerance.zones=0
        fault_tolerance.regions=0
        bounds.seed_lag_s=3
        bounds.reuse_after_s=2
        bounds.stability_window_ms=3000
        bounds.ack_ms=4000
        bounds.catch_up_s=4
        bounds.drain_ms=2000
        bounds.grace_s=8
        bounds.loss_slack_ms=200
        bounds.config_apply_ms=2000
        bounds.downgrade_slack_ms=250
        bounds.max_stretch_ms=5000
        bounds.strict_revoke=false
        bounds.revoke_ms=5000
        bounds.retry_budget_ratio=0.2
        bounds.retry_window_s=10
        bounds.retry_budget_slack=52
        bounds.recover_s=12
        bounds.pass_ms=120
        bounds.again_s=10
        bounds.ttl_max_s=5
        platform.address=%8$s
        platform.form=log
        platform.writes_per_s=400
        platform.reads_per_s=2000
        platform.parts=24
        platform.keep_s=300
        """
            .formatted(
                instance.name,
                instance.ip,
                instance.clients,
                instance.readiness,
                instance.directory,
                links,
                links + 10,
                store.address());
    instance.settings = folder.resolve(instance.name + ".conf");
    instance.log = folder.resolve(instance.name + ".log");
    Files.writeString(instance.settings, text);
  }

  /** Starts the process of an instance with the command of the deploy file. */
  void launch(Instance instance) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("ARBUTUSSPAR_NODE_FILE", instance.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instance.log.toFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    instance.process = builder.start();
    record.line("started %s as process %d", instance.name, instance.process.pid());
  }

  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(words.split(" "));
      }
    }
    throw new IOException("the deploy file has no command");
  }

  boolean isReady(Instance instance) {
    return get(instance.ip + ":" + instance.readiness, "/readyz", 1_000) == 200;
  }

  /** Returns the status of a GET, 0 if there is no answer in time. */
  static int get(String address, String path, int timeoutMillis) {
    try (Client client = new Client(address, timeoutMillis)) {
      client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return client.readHead().status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Sends SIGTERM to the process of an instance. Returns the time at which it has been sent. */
  long terminate(Instance instance) {
    instance.process.toHandle().destroy();
    long sentAt = System.nanoTime();
    record.line("SIGTERM to %s", instance.name);
    return sentAt;
  }

  /** Kills the processes that are left. */
  void kill() {
    for (Instance instance : instances) {
      if (instance.process != null) {
        instance.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws InterruptedException {
    kill();
    for (Instance instance : instances) {
      if (instance.process != null) {
        instance.process.waitFor(10, TimeUnit.SECONDS);
      }
    }
  }
}

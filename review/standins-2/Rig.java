import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Test rig of the second review: the platform's store, replicas, clients, and entry instances that
 * are started with the command of the deploy file. Everything listens on loopback addresses.
 */
final class Rig implements Closeable {

  static final int HEARTBEAT_MS = 1_200;

  final Path work;
  final Store store;
  final List<Replica> replicas = new CopyOnWriteArrayList<>();
  final List<Instance> instances = new CopyOnWriteArrayList<>();
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final String network;
  private final int clientPort;
  private final int linkPort;
  private final String command;
  private final Thread beats;
  private volatile boolean closed;

  Rig(Path recordFile) throws IOException {
    work = Files.createTempDirectory("review-2-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    network = freeNetwork();
    clientPort = freePorts(network + "1", 3);
    linkPort = freePorts(network + "1", 16);
    command = deployCommand();
    store = new Store(network + "100");
    beats = daemon("beats", this::sendBeats);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endInstances));
  }

  private void endInstances() {
    for (Instance instance : instances) {
      instance.process.destroyForcibly();
    }
  }

  /** Steps of a case; returns whether the rule held. */
  interface Case {
    boolean holds(Rig rig, boolean trouble) throws Exception;
  }

  /** Runs a case and ends this process: 0 if the rule held, 1 if it was broken, 2 on an error. */
  static void run(String recordFile, Case steps) {
    int code = 2;
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Rig rig = new Rig(Path.of(recordFile))) {
      rig.note("trouble %s", trouble ? "on" : "off");
      try {
        code = steps.holds(rig, trouble) ? 0 : 1;
        rig.note(code == 0 ? "RULE HELD" : "RULE BROKEN");
        System.out.println(code == 0 ? "rule held" : "rule broken");
      } catch (Exception e) {
        rig.note("could not run: %s", e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.out.flush();
    System.exit(code);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Starts instances and waits until they are ready and know each other. */
  void startInstances(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      startInstance(i);
    }
    if (!awaitReady(20_000)) {
      for (Instance instance : instances) {
        note("instance %d alive: %s", instance.number, instance.process.isAlive());
      }
      throw new IOException("instances are not ready");
    }
    sleep(3_000);
    note("all instances are ready");
  }

  static String deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  /** Returns a block of addresses on which the metrics port, which is fixed, is free. */
  static String freeNetwork() throws IOException {
    for (int i = 0; i < 200; i++) {
      String block = "127." + (20 + (int) ((ProcessHandle.current().pid() + i) % 200)) + ".7.";
      try (ServerSocket first = new ServerSocket(9464, 1, InetAddress.getByName(block + "1"))) {
        return block;
      } catch (IOException e) {
        // Another run uses the block.
      }
    }
    throw new IOException("no free block of addresses");
  }

  /** Returns the first of some consecutive ports that are free. */
  static int freePorts(String address, int count) throws IOException {
    for (int port = 18_000 + (int) (Math.random() * 10_000); port < 32_000; port += count) {
      List<ServerSocket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < count; i++) {
          sockets.add(new ServerSocket(port + i, 1, InetAddress.getByName(address)));
        }
        return port;
      } catch (IOException e) {
        // Try the next ports.
      } finally {
        for (ServerSocket socket : sockets) {
          socket.close();
        }
      }
    }
    throw new IOException("no free ports");
  }

  static Thread daemon(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The connection or the run has ended.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws Exception;
  }

  synchronized void note(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    record.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
    record.flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  // ------------------------------------------------------------------ instances

  /** Starts an instance and returns without waiting for it. */
  Instance startInstance(int number) throws IOException {
    Instance instance = new Instance(number);
    instance.start();
    instances.add(instance);
    return instance;
  }

  /** Waits until all instances that run are ready. */
  boolean awaitReady(long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      boolean all = true;
      for (Instance instance : instances) {
        all &= instance.readyStatus(1_000) == 200;
      }
      if (all) {
        return true;
      }
      sleep(100);
    }
    return false;
  }

  final class Instance {
    final int number;
    final String ip;
    final Path settings;
    final Path log;
    Process process;

    Instance(int number) {
      this.number = number;
      this.ip = network + (number + 1);
      this.settings = work.resolve("edge-" + number + ".conf");
      this.log = work.resolve("edge-" + number + ".log");
    }

    InetSocketAddress clients() {
      return new InetSocketAddress(ip, clientPort);
    }

    void start() throws IOException {
      Files.writeString(settings, settingsText());
      ProcessBuilder builder = new ProcessBuilder(command.split(" "));
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("ARBUTUSSPAR_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      note("instance %d started at %s, pid %d", number, clients(), process.pid());
    }

    private String settingsText() {
      return String.join(
          "\n",
          "node_name=edge-" + number,
          "role=entry",
          "machine_class=edge",
          "serves=edge,registry",
          "ip=" + ip,
          "zone=mids-a",
          "region=midlands",
          "zones.mids-a=midlands",
          "listen.frontend=" + ip + ":" + clientPort,
          "listen.readiness=" + ip + ":" + (clientPort + 1),
          "listen.directory=" + ip + ":" + (clientPort + 2),
          "internal_port_range=" + linkPort + "," + (linkPort + 15),
          "seeds=" + network + "1:" + clientPort,
          "bootstrap=true",
          "limits.cpu_share=0.75",
          "limits.cores=1",
          "limits.memory_mb=430",
          "limits.max_fds=4100",
          "limits.link_mbps=1000.0",
          "limits.disk_mb=0",
          "discovery=platform",
          "entry=registry",
          "heartbeat_ms=" + HEARTBEAT_MS,
          "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
          "bounds.stability_window_ms=3000",
          "bounds.drain_ms=2000",
          "bounds.grace_s=8",
          "bounds.loss_slack_ms=200",
          "bounds.config_apply_ms=2000",
          "bounds.retry_budget_ratio=0.2",
          "bounds.retry_window_s=10",
          "bounds.retry_budget_slack=58",
          "bounds.ttl_max_s=5",
          "platform.address=" + store.endpoint(),
          "platform.form=log",
          "");
    }

    /** Returns the status of a readiness check, 0 if there is no answer in time. */
    int readyStatus(int timeoutMillis) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, clientPort + 1), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        socket
            .getOutputStream()
            .write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return new Reader(socket.getInputStream()).answer().status;
      } catch (IOException e) {
        return 0;
      }
    }

    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      note("instance %d gets SIG%s", number, name);
    }

    int count(String text) {
      try {
        return (int) Files.lines(log, StandardCharsets.ISO_8859_1).filter(l -> l.contains(text)).count();
      } catch (IOException e) {
        return 0;
      }
    }
  }

  // ------------------------------------------------------------------ HTTP

  /** Head of a message. */
  static class Message {
    String firstLine = "";
    final Map<String, String> fields = new LinkedHashMap<>();
    byte[] body = {};

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String target() {
      return firstLine.split(" ")[1];
    }
  }

  /** Answer to a client. */
  static final class Answer extends Message {
    int status;

    /** How the answer ended: complete, or why it did not. */
    String end = "complete";

    long headNanos;
    long endNanos;

    boolean complete() {
      return end.equals("complete");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads messages from a connection. */
  static final class Reader {
    final InputStream in;

    Reader(InputStream in) {
      this.in = in instanceof BufferedInputStream ? in : new BufferedInputStream(in, 65_536);
    }

    private String line() throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new EOFException("end of connection");
        }
        bytes.write(c);
      }
      String text = bytes.toString(StandardCharsets.ISO_8859_1);
      return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    private void head(Message message) throws IOException {
      message.firstLine = line();
      for (String line = line(); !line.isEmpty(); line = line()) {
        int colon = line.indexOf(':');
        if (colon > 0) {
          message.fields.put(
              line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
      }
    }

    Message request() throws IOException {
      Message message = new Message();
      head(message);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (message.field("transfer-encoding").equals("chunked")) {
        chunks(body);
      } else if (!message.field("content-length").isEmpty()) {
        exactly(body, Integer.parseInt(message.field("content-length")));
      }
      message.body = body.toByteArray();
      return message;
    }

    Answer answer() throws IOException {
      Answer answer = new Answer();
      head(answer);
      answer.headNanos = System.nanoTime();
      answer.status = Integer.parseInt(answer.firstLine.split(" ")[1]);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      try {
        if (answer.field("transfer-encoding").equals("chunked")) {
          chunks(body);
        } else if (!answer.field("content-length").isEmpty()) {
          exactly(body, Integer.parseInt(answer.field("content-length")));
        } else if (answer.status != 204) {
          for (int c = in.read(); c >= 0; c = in.read()) {
            body.write(c);
          }
        }
      } catch (IOException e) {
        answer.end = "cut in the body: " + e.getMessage();
      }
      answer.body = body.toByteArray();
      answer.endNanos = System.nanoTime();
      return answer;
    }

    private void exactly(ByteArrayOutputStream body, int length) throws IOException {
      byte[] buffer = new byte[16_384];
      for (int left = length; left > 0; ) {
        int count = in.read(buffer, 0, Math.min(left, buffer.length));
        if (count < 0) {
          throw new EOFException("end of connection");
        }
        body.write(buffer, 0, count);
        left -= count;
      }
    }

    private void chunks(ByteArrayOutputStream body) throws IOException {
      while (true) {
        int size = Integer.parseInt(line().split(";")[0].trim(), 16);
        exactly(body, size);
        if (size == 0) {
          while (!line().isEmpty()) {
            // Skips trailers.
          }
          return;
        }
        line();
      }
    }
  }

  static byte[] response(int status, String fields, byte[] body) {
    byte[] head =
        ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    return ByteBuffer.allocate(head.length + body.length).put(head).put(body).array();
  }

  /** A client with one connection that is kept for many requests. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    private final Reader reader;

    Client(InetSocketAddress address, int readTimeoutMillis) throws IOException {
      socket.connect(address, 1_000);
      socket.setSoTimeout(readTimeoutMillis);
      socket.setTcpNoDelay(true);
      reader = new Reader(socket.getInputStream());
    }

    /** Sends a request and reads its answer; a missing answer has status 0. */
    Answer call(String method, String target, String host, String fields, byte[] body) {
      String head =
          method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields
              + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
              + "\r\n";
      try {
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
      } catch (IOException e) {
        // The answer may have come before the request was sent in full.
      }
      return read();
    }

    Answer read() {
      try {
        return reader.answer();
      } catch (IOException e) {
        Answer none = new Answer();
        none.end = "no answer: " + e.getMessage();
        none.endNanos = System.nanoTime();
        return none;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ------------------------------------------------------------------ replicas

  /** What a replica does with a request after it has read it. */
  interface Behaviour {
    /** Returns whether the connection is kept. */
    boolean serve(Replica replica, Message request, Socket socket) throws Exception;
  }

  Replica startReplica(String id, String service, int slots, Behaviour behaviour)
      throws IOException {
    Replica replica = new Replica(id, service, slots, behaviour);
    replicas.add(replica);
    store.put("keyed.servers", id, replica.entry());
    return replica;
  }

  final class Replica {
    final String id;
    final String service;
    final int slots;
    final long born = System.currentTimeMillis();
    final ServerSocket server;
    volatile Behaviour behaviour;
    volatile String state = "ready";
    private long seq;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    volatile boolean crashed;

    Replica(String id, String service, int slots, Behaviour behaviour) throws IOException {
      this.id = id;
      this.service = service;
      this.slots = slots;
      this.behaviour = behaviour;
      server = new ServerSocket(0, 500, InetAddress.getByName(network + "101"));
      daemon(id, this::accept);
    }

    private void accept() throws IOException {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        daemon(id + "-c", () -> serveConnection(socket));
      }
    }

    /** Resets all connections and ends; nothing more is sent, also not to the store. */
    synchronized void crash() throws IOException {
      if (crashed) {
        return;
      }
      crashed = true;
      replicas.remove(this);
      server.close();
      for (Socket socket : connections) {
        if (!socket.isClosed()) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      }
      daemon("expiry-" + id, this::expire);
    }

    /** The store removes an entry after three heartbeat intervals of silence. */
    private void expire() {
      sleep(3 * HEARTBEAT_MS);
      store.put("keyed.servers", id, "");
    }

    private void serveConnection(Socket socket) throws Exception {
      try (socket) {
        Reader reader = new Reader(socket.getInputStream());
        while (true) {
          Message request = reader.request();
          String expected = request.field("x-expect-instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            socket
                .getOutputStream()
                .write(response(421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n", new byte[0]));
          } else if (!behaviour.serve(this, request, socket)) {
            return;
          }
          if (request.field("connection").equals("close")) {
            return;
          }
        }
      }
    }

    String own(Message request) {
      String attempt = request.field("x-attempt-id");
      return "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt + "\r\n";
    }

    synchronized String entry() {
      return "{\"service\":\"" + service + "\",\"address\":\"" + network + "101:"
          + server.getLocalPort() + "\",\"zone\":\"mids-a\",\"version\":\"v1\",\"slots\":" + slots
          + ",\"state\":\"" + state + "\",\"warmup_left_ms\":0,\"seq\":" + ++seq + ",\"born\":" + born
          + "}";
    }
  }

  private void sendBeats() {
    while (!closed) {
      sleep(HEARTBEAT_MS);
      for (Replica replica : replicas) {
        if (!replica.crashed) {
          store.put("keyed.servers", replica.id, replica.entry());
        }
      }
    }
  }

  // ------------------------------------------------------------------ store

  /** The platform's store: a log with keyed topics of one partition, in memory. */
  static final class Store {
    private final ServerSocket server;
    private final Map<String, List<byte[]>> topics = new ConcurrentHashMap<>();

    Store(String address) throws IOException {
      server = new ServerSocket(0, 500, InetAddress.getByName(address));
      daemon("store", this::accept);
    }

    String endpoint() {
      return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() throws IOException {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon("store-c", () -> serveConnection(socket));
      }
    }

    private void serveConnection(Socket socket) throws Exception {
      try (socket) {
        Reader reader = new Reader(socket.getInputStream());
        while (true) {
          Message request = reader.request();
          sleep(4);
          socket.getOutputStream().write(serve(request));
        }
      }
    }

    private byte[] serve(Message request) {
      String[] target = request.target().split("\\?", 2);
      Map<String, String> query = new LinkedHashMap<>();
      for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
      }
      String topic = query.getOrDefault("topic", "");
      switch (target[0]) {
        case "/log-newest":
          return response(200, "Content-Type: application/json\r\n", newest(topic));
        case "/log-read":
          int from = Integer.parseInt(query.get("from"));
          long until =
              System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
          while (records(topic).size() <= from && System.nanoTime() < until) {
            sleep(5);
          }
          return response(200, "", read(topic, from));
        case "/log-append":
          ByteBuffer body = ByteBuffer.wrap(request.body);
          while (body.hasRemaining()) {
            byte[] one = new byte[body.getInt()];
            body.get(one);
            records(topic).add(one);
          }
          String end = "{\"offset\":0,\"end\":" + records(topic).size() + "}";
          return response(200, "", end.getBytes(StandardCharsets.US_ASCII));
        default:
          return response(404, "", new byte[0]);
      }
    }

    private List<byte[]> records(String topic) {
      return topics.computeIfAbsent(topic, name -> new CopyOnWriteArrayList<>());
    }

    private byte[] read(String topic, int from) {
      List<byte[]> all = List.copyOf(records(topic));
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(ByteBuffer.allocate(16).putLong(all.size()).putLong(0).array());
      for (byte[] one : all.subList(Math.min(from, all.size()), all.size())) {
        out.writeBytes(ByteBuffer.allocate(4).putInt(one.length).array());
        out.writeBytes(one);
      }
      return out.toByteArray();
    }

    private byte[] newest(String topic) {
      List<byte[]> all = List.copyOf(records(topic));
      Map<String, String> items = new LinkedHashMap<>();
      for (int offset = 0; offset < all.size(); offset++) {
        byte[] one = all.get(offset);
        int length = one[0] & 0xff;
        String key = new String(one, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(one, 1 + length, one.length);
        items.remove(key);
        if (value.length > 0) {
          items.put(
              key,
              "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                  + "\",\"offset\":" + offset + "}");
        }
      }
      String json =
          "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":"
              + all.size() + "}";
      return json.getBytes(StandardCharsets.UTF_8);
    }

    void put(String topic, String key, String value) {
      byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
      byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
      records(topic)
          .add(
              ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
                  .put((byte) keyBytes.length)
                  .put(keyBytes)
                  .put(valueBytes)
                  .array());
    }
  }

  // ------------------------------------------------------------------ end

  @Override
  public void close() {
    closed = true;
    for (Instance instance : instances) {
      instance.process.destroyForcibly();
      try {
        instance.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    String keep = System.getenv("REVIEW_KEEP");
    if (keep == null) {
      try (var files = Files.walk(work)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      } catch (IOException e) {
        note("work folder not removed");
      }
    } else {
      System.err.println("kept " + work);
    }
    record.close();
  }

  static Optional<String> env(String name) {
    return Optional.ofNullable(System.getenv(name));
  }
}

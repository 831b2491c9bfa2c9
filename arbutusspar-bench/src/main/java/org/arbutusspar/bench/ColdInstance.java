package org.arbutusspar.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.SampleTraffic;

/**
 * An instance of a checkout as a process of its own on one processor core, started by the command
 * of the checkout's deploy file. Requests are sent one after the other.
 */
final class ColdInstance implements AutoCloseable {

  private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"java (.*)\"$");
  private static final String ADDRESS = "127.0.1.1";
  private static final Endpoint CLIENTS = new Endpoint(ADDRESS, 18_635);
  private static final Endpoint READINESS = new Endpoint(ADDRESS, 18_636);
  private static final int DIRECTORY_PORT = 18_637;
  private static final int FIRST_LINK_PORT = 17_760;
  private static final int LINK_PORTS = 10;
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long POLL_MILLIS = 25;
  private static final int STATUS_OK = 200;

  private final Process process;
  private final Path folder;
  private final RawClient client;

  private ColdInstance(Process process, Path folder, RawClient client) {
    this.process = process;
    this.folder = folder;
    this.client = client;
  }

  /**
   * Starts an instance.
   *
   * @param checkout folder of the built checkout, not null
   * @param core number of the processor core that the process is bound to
   * @param store endpoint of the store, not null
   * @param client sends requests, not null
   * @return the instance, to be closed by the caller
   * @throws IOException if the deploy file cannot be read or the process cannot be started
   */
  static ColdInstance start(Path checkout, int core, Endpoint store, RawClient client)
      throws IOException {
    Matcher command = COMMAND.matcher(Files.readString(checkout.resolve("deploy/system.toml")));
    if (!command.find()) {
      throw new IOException("no command of a Java process in the deploy file of " + checkout);
    }
    Path folder = Files.createTempDirectory("cold");
    Path settings = folder.resolve("settings.conf");
    Files.writeString(settings, settings(store), StandardCharsets.UTF_8);
    List<String> words = new ArrayList<>(List.of("taskset", "-c", String.valueOf(core), "java"));
    words.addAll(List.of(command.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(words).directory(checkout.toFile());
    builder.environment().put("ARBUTUSSPAR_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
    return new ColdInstance(builder.start(), folder, client);
  }

  private static String settings(Endpoint store) {
    return String.join(
        "\n",
        "node_name=e-0",
        "ip=" + ADDRESS,
        "zone=a",
        "listen.frontend=" + CLIENTS,
        "listen.readiness=" + READINESS,
        "listen.directory=" + ADDRESS + ":" + DIRECTORY_PORT,
        "internal_port_range=" + FIRST_LINK_PORT + "," + (FIRST_LINK_PORT + LINK_PORTS),
        "platform.address=" + store,
        "");
  }

  /**
   * Waits until the instance is ready.
   *
   * @throws IOException if it ends or is not ready in time
   * @throws InterruptedException if the wait is interrupted
   */
  void awaitReady() throws IOException, InterruptedException {
    long start = System.nanoTime();
    while (status(SampleTraffic.readinessQuery(READINESS)) != STATUS_OK) {
      if (!process.isAlive() || System.nanoTime() - start > READY_TIMEOUT_NANOS) {
        throw new IOException("the instance is not ready: " + Files.readString(log()));
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private Path log() {
    return folder.resolve("log");
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param target path of the request, not null
   * @param id identifier of the request, not null
   * @throws IOException if it is not served
   */
  void send(String target, String id) throws IOException {
    int status = status(SampleTraffic.request(CLIENTS, target, id, "key"));
    if (status != STATUS_OK) {
      throw new IOException("request " + id + " for " + target + " got status " + status);
    }
  }

  private int status(RawCall call) {
    return client.fetch("cold", call).handle(ColdInstance::statusOf).join();
  }

  private static int statusOf(RawReply reply, Throwable failure) {
    return failure == null ? reply.status() : 0;
  }

  /**
   * Returns the processor time of the process so far.
   *
   * @return the time in milliseconds
   * @throws IOException if the process has ended
   */
  double processorMillis() throws IOException {
    return ProcessorTime.millis(process.pid());
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    process.onExit().join();
    Files.deleteIfExists(log());
    Files.deleteIfExists(folder.resolve("settings.conf"));
    Files.deleteIfExists(folder);
  }
}

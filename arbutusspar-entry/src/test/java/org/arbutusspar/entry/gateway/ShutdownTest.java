package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an instance accepts from clients that keep its address while it shuts down. */
class ShutdownTest extends GatewayRig {

  /** Time after which requests must no longer be cut by the end of the shutdown. */
  private static final long LATE_MILLIS = 3_000;

  /**
   * Interval between the events of a stream, each of which has three. A single one ends in time if
   * it starts with the shutdown, but not if it starts late.
   */
  private static final long EVENT_INTERVAL_MILLIS = 2_000;

  private Instance instance;

  @BeforeEach
  void startLeaving() throws IOException {
    instance = startReadyInstance();
    engine.setBehaviour(Behaviour.STREAM);
    engine.setEventIntervalMillis(EVENT_INTERVAL_MILLIS);
    // A stream in progress, without which the instance would stop early.
    stream("early");
    await(() -> !engine.executedHeaders().isEmpty());
    instance.gateway().leave("test");
  }

  private CompletableFuture<RawReply> stream(String id) {
    return client.fetch(
        "test", SampleTraffic.longStreamRequest(instance.settings().clients(), id, "key"));
  }

  private void awaitStop() throws InterruptedException {
    instance.gateway().await();
    instance.gateway().close();
  }

  /**
   * Guards against streams that a leaving instance accepts late and cuts when it stops. It took a
   * stream if streams usually end in time, but this one was longer.
   */
  @Test
  void streamsSentLateInShutdownAreNotCut() throws InterruptedException {
    sleep(LATE_MILLIS);
    List<CompletableFuture<RawReply>> replies = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      replies.add(stream("late" + i));
      sleep(100);
    }
    awaitStop();
    for (CompletableFuture<RawReply> reply : replies) {
      assertEquals(503, reply.join().status());
      assertTrue(reply.join().field("Retry-After").isPresent());
    }
  }

  /**
   * Guards against streams that are cut because their request was accepted early in a shutdown, but
   * its body arrived late.
   */
  @Test
  void streamWhoseBodyArrivesLateInShutdownIsNotCut() throws IOException, InterruptedException {
    Endpoint clients = instance.settings().clients();
    String head =
        "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 12000\r\n"
            .formatted(SampleTraffic.LONG_STREAM_PATH);
    try (Socket socket = new Socket(clients.host(), clients.port())) {
      socket.setSoTimeout(10_000);
      socket
          .getOutputStream()
          .write((head + "Api-Key: key\r\nContent-Length: 8\r\n\r\nhalf").getBytes(UTF_8));
      sleep(LATE_MILLIS + 200);
      socket.getOutputStream().write("half".getBytes(UTF_8));
      awaitStop();
      byte[] statusLineStart = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 503", new String(statusLineStart, UTF_8));
    }
  }
}

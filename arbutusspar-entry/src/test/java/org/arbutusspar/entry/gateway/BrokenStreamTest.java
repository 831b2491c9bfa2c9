package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.lang3.StringUtils;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what a client gets of a stream that has begun and breaks off. */
class BrokenStreamTest extends GatewayRig {

  /**
   * Guards against the response of a second replica, such as an error, in the middle of a stream,
   * and against broken streams that look complete. The stream's route permits retries.
   */
  @ParameterizedTest
  @EnumSource(
      value = Behaviour.class,
      names = {"FAIL", "REJECT", "STREAM", "WRONG_REQUEST_ID", "RESET_CONNECTION"})
  void nothingFollowsTheBrokenStream(Behaviour secondBehaviour) throws IOException {
    final Instance instance = startReadyInstance();
    ReplicaStandin second =
        closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    second.setBehaviour(secondBehaviour);
    store.putReplica("i-3", second.listEntry(SampleTraffic.ENGINE, false));
    engine.setBehaviour(Behaviour.BREAK_STREAM);
    AtomicInteger streams = new AtomicInteger();
    await(() -> breaksOff(instance, "warm" + streams.incrementAndGet()));
    int broken = 0;
    for (int i = 0; i < 40; i++) {
      String id = "broken" + i;
      String response = readUntilEnd(instance, id);
      if (engine.executedHeaders().stream().anyMatch(run -> id.equals(run.get("X-Attempt-Id")))) {
        assertBrokenStream(response);
        broken++;
      }
    }
    assertTrue(broken > 0, "no stream broke off");
  }

  private boolean breaksOff(Instance instance, String id) {
    try {
      readUntilEnd(instance, id);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return engine.executedHeaders().stream().anyMatch(run -> id.equals(run.get("X-Attempt-Id")));
  }

  private static void assertBrokenStream(String response) {
    assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 200 "), response);
    assertEquals(response.isEmpty() ? 0 : 1, StringUtils.countMatches(response, "HTTP/1.1"));
    assertTrue(!response.contains("failed") && !response.endsWith("\r\n0\r\n\r\n"), response);
    assertTrue(StringUtils.countMatches(response, "id: 1\n") <= 1, response);
  }

  /** Returns what a client gets until its connection ends. */
  private static String readUntilEnd(Instance instance, String id) throws IOException {
    Endpoint clients = instance.settings().clients();
    String request =
        "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
            .formatted(SampleTraffic.LONG_STREAM_PATH, id);
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (Socket socket = new Socket(clients.host(), clients.port())) {
      socket.setSoTimeout(4_000);
      socket
          .getOutputStream()
          .write((request + "Api-Key: key\r\nConnection: close\r\n\r\n").getBytes(ISO_8859_1));
      for (int next = socket.getInputStream().read(); next >= 0; ) {
        received.write(next);
        next = socket.getInputStream().read();
      }
    } catch (SocketException e) {
      // The instance resets the connection of a response that it cannot complete.
    }
    return received.toString(ISO_8859_1);
  }
}

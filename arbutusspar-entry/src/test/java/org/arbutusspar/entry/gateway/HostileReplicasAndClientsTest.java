package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.ScriptedReplica;
import org.arbutusspar.platform.standin.ScriptedReplica.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests an instance against replicas that violate HTTP or are at capacity, and against clients that
 * do not complete their requests.
 */
class HostileReplicasAndClientsTest extends GatewayRig {

  /**
   * Maximum number of bytes that an instance takes from one response without end: the 1 MiB that it
   * buffers of a response, and what lies in the buffers of the sockets.
   */
  private static final long MAX_BYTES_OF_ENDLESS_RESPONSE = 8 << 20;

  private ScriptedReplica replaceEngineByScripted(Instance instance, Script script)
      throws IOException {
    ScriptedReplica replica = closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, script));
    store.putReplica("i-1", "");
    store.putReplica(
        "i-9", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.ENGINE, false));
    await(() -> respondsFromScriptedReplica(instance));
    return replica;
  }

  private boolean respondsFromScriptedReplica(Instance instance) {
    RawReply reply = call(instance, "/n/x", "n" + System.nanoTime(), "key");
    return reply.field("X-Response-Signature").orElse("").startsWith("s.");
  }

  private CompletableFuture<RawReply> sendBody(Instance instance, String id, byte[] body) {
    RawCall call =
        SampleTraffic.request(instance.settings().clients(), "/n/x", id, "key").withBody(body);
    return client.fetch("test", call);
  }

  @Test
  void extraBytesAfterResponseAreNotForwarded() throws IOException {
    Instance instance = startReadyInstance();
    replaceEngineByScripted(instance, Script.EXTRA_BYTES);
    assertOwnResponsesOnly(instance);
  }

  @Test
  void duplicateResponseIsNotForwarded() throws IOException {
    Instance instance = startReadyInstance();
    replaceEngineByScripted(instance, Script.DUPLICATE_RESPONSE);
    assertOwnResponsesOnly(instance);
    sleep(50);
    assertOwnResponsesOnly(instance);
  }

  /** Asserts that each request gets its own response or fails, and never gets that of another. */
  private void assertOwnResponsesOnly(Instance instance) {
    for (int i = 0; i < 20; i++) {
      String id = "m" + i + "-" + System.nanoTime();
      RawReply reply = call(instance, "/n/x", id, "key");
      if (reply.status() == 200) {
        assertEquals(Optional.of("s." + id), reply.field("X-Response-Signature"));
        assertEquals("whole", new String(reply.body(), StandardCharsets.UTF_8));
      } else {
        assertEquals(
            502, reply.status(), "503 would state that a request which may have run was not run");
        assertEquals(Optional.empty(), reply.field("X-Response-Signature"));
      }
    }
  }

  /**
   * Guards against requests that ran and were rejected as not run. The replica reports a count that
   * does not fit into an int; the response was dropped, and the request ended at its deadline.
   */
  @Test
  void responseWithSpoiledLoadReportIsForwarded() throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica = replaceEngine(instance, Script.SPOILED_LOAD);
    for (String path : List.of("/n/x", "/p/x")) {
      String id = id();
      RawReply reply = call(instance, path, id, "key");
      assertEquals(200, reply.status());
      assertEquals(Optional.of("s." + id), reply.field("X-Response-Signature"));
    }
    assertTrue(replica.received().size() >= 2);
  }

  /**
   * Guards against requests that ran and were rejected as not run: the replica repeated its
   * rejection of an earlier request.
   */
  @Test
  void rejectionOfOtherRequestIsNoPromise() throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica = replaceEngine(instance, Script.REJECTION_OF_OTHER_REQUEST);
    String id = id();
    assertEquals(502, call(instance, "/n/x", id, "key").status());
    assertEquals(1, replica.received().stream().filter(each -> each.id().equals(id)).count());
  }

  /**
   * Guards against requests that wait for their deadline, and releases that stop for good, because
   * a worker returned a handle that names no replica. The route's timeout is 4 s.
   */
  @Test
  void malformedHandleFailsItsRequestAtOnce() throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica =
        closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, Script.MALFORMED_HANDLES));
    store.putReplica("i-2", "");
    store.putReplica(
        "i-9", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.WORKER, false));
    await(
        () -> {
          call(instance, "/s/x", id(), "key");
          return !replica.received().isEmpty();
        });
    long startNanos = System.nanoTime();
    RawReply reply = call(instance, "/s/x", id(), "key");
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    assertEquals(503, reply.status());
    assertTrue(millis < 2_000, millis + " ms");
  }

  @Test
  void malformedOrTruncatedResponsesAreFailures() throws IOException {
    Instance instance = startReadyInstance();
    for (Script script : List.of(Script.NOT_HTTP, Script.SHORT_BODY)) {
      ScriptedReplica replica = closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, script));
      store.putReplica(
          "i-1", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.ENGINE, false));
      await(() -> call(instance, "/n/x", "n" + System.nanoTime(), "key").status() == 502);
      for (int i = 0; i < 3; i++) {
        assertEquals(502, call(instance, "/n/x", script + "-" + i, "key").status());
      }
    }
  }

  /**
   * Clients got status 200 with an empty or short body, framed as complete, since a replica closed
   * its connection in the middle of the header of its response.
   */
  @ParameterizedTest
  @EnumSource(value = Script.class, names = "CLOSED_.*", mode = EnumSource.Mode.MATCH_ALL)
  void truncatedHeaderIsNoResponse(Script script) throws IOException {
    Instance instance = startReadyInstance();
    replaceEngine(instance, script);
    for (String target : List.of("/n/x", "/s/x", "/l/x")) {
      RawReply reply = call(instance, target, id(), "key");
      assertEquals(502, reply.status(), target);
      assertEquals(0, reply.body().length, target);
      assertTrue(reply.field("X-Response-Signature").isEmpty(), target);
    }
  }

  /** A stream that broke off reached its client as complete, since its end was not marked. */
  @ParameterizedTest
  @EnumSource(
      value = Script.class,
      names = {
        "STREAM_CLOSED_BEFORE_EVENT",
        "STREAM_CLOSED_INSIDE_EVENT",
        "STREAM_LAST_CHUNK_INSIDE_EVENT"
      })
  void truncatedEventStreamIsNotCompleted(Script script) throws IOException {
    Instance instance = startReadyInstance();
    replaceEngine(instance, script);
    for (int i = 0; i < 5; i++) {
      var reply = send(instance, "/s/x", id(), "key");
      assertThrows(CompletionException.class, reply::join);
    }
  }

  @Test
  void truncatedEventStreamOnOtherRouteIsNotForwarded() throws IOException {
    Instance instance = startReadyInstance();
    replaceEngine(instance, Script.STREAM_CLOSED_INSIDE_EVENT);
    assertEquals(502, call(instance, "/n/x", id(), "key").status());
  }

  @Test
  void eventStreamThatEndsWithItsConnectionIsForwarded() throws IOException {
    Instance instance = startReadyInstance();
    replaceEngine(instance, Script.STREAM_UNTIL_CLOSE);
    RawReply reply = call(instance, "/s/x", id(), "key");
    assertEquals(200, reply.status());
    assertEquals("id: 1\ndata: x\n\n".repeat(2), new String(reply.body(), StandardCharsets.UTF_8));
  }

  /** Replaces the engine, and waits until the instance sends requests to the new one. */
  private ScriptedReplica replaceEngine(Instance instance, Script script) throws IOException {
    ScriptedReplica replica = closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, script));
    store.putReplica("i-1", "");
    store.putReplica(
        "i-9", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.ENGINE, false));
    await(
        () -> {
          send(instance, "/s/x", id(), "key").handle((reply, failure) -> reply).join();
          return !replica.received().isEmpty();
        });
    return replica;
  }

  /**
   * Guards against memory and processor time without bound: a replica sends bytes that are no
   * response until its caller closes the connection. The request may have run, so it must not be
   * rejected as not run.
   */
  @ParameterizedTest
  @EnumSource(value = Script.class, names = "ENDLESS_.*", mode = EnumSource.Mode.MATCH_ALL)
  void endlessResponseIsCutOffEarly(Script script) throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica = closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, script));
    store.putReplica("i-1", "");
    store.putReplica(
        "i-9", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.ENGINE, false));
    await(() -> !replica.received().isEmpty() || call(instance, "/n/x", id(), "key") == null);
    int requests = 5;
    long startNanos = System.nanoTime();
    for (int i = 0; i < requests; i++) {
      assertEquals(502, call(instance, "/n/x", id(), "key").status());
    }
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    await(() -> replica.endlessResponses() == 0);
    assertTrue(millis < requests * 500, millis + " ms");
    long maxBytes = replica.received().size() * MAX_BYTES_OF_ENDLESS_RESPONSE;
    assertTrue(replica.endlessBytes() <= maxBytes, replica.endlessBytes() + " bytes");
  }

  /** Like {@link #endlessResponseIsCutOffEarly}, for the calls that compute pieces of a stage. */
  @ParameterizedTest
  @EnumSource(value = Script.class, names = "ENDLESS_.*", mode = EnumSource.Mode.MATCH_ALL)
  void endlessResponseOfWorkerIsCutOffEarly(Script script) throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica = closeAfterTest(ScriptedReplica.start(FIRST_ADDRESS, script));
    store.putReplica("i-2", "");
    store.putReplica(
        "i-9", ReplicaStandin.listEntry(replica.endpoint(), SampleTraffic.WORKER, false));
    await(
        () -> {
          call(instance, "/s/x", id(), "key");
          return !replica.received().isEmpty();
        });
    await(() -> replica.endlessResponses() == 0);
    long maxBytes = replica.received().size() * MAX_BYTES_OF_ENDLESS_RESPONSE;
    assertTrue(replica.endlessBytes() <= maxBytes, replica.endlessBytes() + " bytes");
    assertEquals(200, call(instance, "/n/x", id(), "key").status());
  }

  private static String id() {
    return "n" + System.nanoTime();
  }

  /**
   * Guards against request bodies that are mixed on a reused connection. A replica responds before
   * it has read the whole request body, and reads the rest later. It must then receive the rest of
   * that body and not the start of another request.
   */
  @Test
  void earlyResponseDoesNotMixRequestBodies() throws IOException {
    Instance instance = startReadyInstance();
    ScriptedReplica replica = replaceEngineByScripted(instance, Script.EARLY_RESPONSE);
    byte[] large = new byte[3 << 20];
    new Random(7).nextBytes(large);
    for (int i = 0; i < 4; i++) {
      sendBody(instance, "large" + i, large).join();
      call(instance, "/n/x", "small" + i, "key");
    }
    for (ScriptedReplica.Received request : replica.received()) {
      byte[] expected = request.id().startsWith("large") ? large : new byte[100];
      assertArrayEquals(Arrays.copyOf(expected, request.body().length), request.body());
    }
    assertEquals(List.of(), replica.malformed());
  }

  @Test
  void requestsBeyondReplicaCapacityAreRejectedAsNotRun() throws IOException {
    Instance instance = startReadyInstance();
    engine.setCapacity(1, 1, 200);
    List<CompletableFuture<RawReply>> replies = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      replies.add(send(instance, "/n/x", "r" + i, "key"));
    }
    long rejected = replies.stream().filter(reply -> reply.join().status() == 503).count();
    long served = replies.stream().filter(reply -> reply.join().status() == 200).count();
    assertEquals(6, rejected + served);
    assertEquals(served, engine.executedHeaders().size());
    assertTrue(served >= 2, served + " served");
  }

  /**
   * Guards against session prompts that more than one engine processes. Each request of a session
   * repeats the same prompt parts, and only the engine that has processed them has them in its
   * cache.
   */
  @Test
  void promptsOfSessionStayWithEngineThatReadThem() throws IOException {
    final Instance instance = startReadyInstance();
    ReplicaStandin other = closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    store.putReplica("i-3", other.listEntry(SampleTraffic.ENGINE, false));
    engine.setBehaviour(Behaviour.STREAM);
    other.setBehaviour(Behaviour.STREAM);
    await(
        () ->
            stream(instance, "w" + System.nanoTime()) == 200 && !other.executedHeaders().isEmpty());
    engine.resetPromptCache(600_000);
    other.resetPromptCache(600_000);
    for (int round = 0; round < 5; round++) {
      for (int session = 0; session < 4; session++) {
        assertEquals(200, stream(instance, "common:800,session" + session));
      }
    }
    long tokensRead = engine.processedPromptTokens() + other.processedPromptTokens();
    assertTrue(
        tokensRead <= 2 * 800 + 4 * 2_000,
        tokensRead + " tokens read, 48,000 without a prompt cache");
  }

  private int stream(Instance instance, String prompt) {
    RawCall call =
        SampleTraffic.request(
            instance.settings().clients(), "/s/x", "s" + System.nanoTime(), "key");
    return client.fetch("test", SampleTraffic.withPrompt(call, prompt + ":2000")).join().status();
  }

  @Test
  void incompleteHeaderTimesOut() throws IOException {
    Instance instance = startReadyInstance();
    Endpoint clients = instance.settings().clients();
    long startNanos = System.nanoTime();
    try (Socket socket = new Socket(clients.host(), clients.port())) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write("GET /p/x HTTP/1.1\r\nHost: h\r\n".getBytes(UTF_8));
      assertEquals(-1, socket.getInputStream().read());
    }
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    assertTrue(
        millis >= SampleTraffic.HEADER_TIMEOUT_MILLIS - 50 && millis < 1_500, millis + " ms");
  }

  @Test
  void incompleteBodyIsRejectedBeforeRouteTimeout() throws IOException {
    Instance instance = startReadyInstance();
    Endpoint clients = instance.settings().clients();
    String head =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 1500\r\n"
            + "Api-Key: key\r\nContent-Length: 10\r\n\r\nhalf";
    try (Socket socket = new Socket(clients.host(), clients.port())) {
      socket.setSoTimeout(1_600);
      socket.getOutputStream().write(head.getBytes(UTF_8));
      byte[] statusLineStart = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 408", new String(statusLineStart, UTF_8));
    }
    assertTrue(engine.executedHeaders().isEmpty());
  }
}

package org.arbutusspar.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpReply;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Tests the caller and operator APIs of two instances over real sockets. The instances share one
 * deployment, which is not restarted between the tests.
 */
class EntryDaemonTest {

  private static TestDeployment deployment;

  @BeforeAll
  static void start() throws IOException {
    deployment = TestDeployment.start(2);
  }

  @AfterAll
  static void stop() {
    deployment.close();
  }

  @Test
  void pipelineReturnsAnswerDocumentsAndCosts() {
    HttpReply reply = deployment.call(deployment.chatCall(0, "how do I wash wings"));
    JsonNode body = TestDeployment.json(reply);
    assertEquals(200, reply.status(), reply.body());
    assertEquals("answered", body.path("outcome").asText());
    assertTrue(body.path("answer").asText().endsWith("[end]"), reply.body());
    assertEquals(3, body.path("documents").size());
    assertEquals(3, body.path("costs").size());
  }

  @Test
  void streamSendsPartsAndThenDone() {
    HttpReply reply =
        deployment.call(
            deployment.chatCall(0, "stream please").with("Accept", "text/event-stream"));
    assertTrue(reply.body().contains("event: part\n"), reply.body());
    assertTrue(reply.body().contains("event: done\n"), reply.body());
  }

  /**
   * The outcome of a request can be queried at the other instance, but not with the key of another
   * workspace, and the query does not run the request a second time.
   */
  @Test
  void answerIsStoredForItsWorkspaceOnly() {
    String id = deployment.newId(0);
    assertEquals(200, deployment.call(deployment.plainCall(0, id, "{\"a\":1}")).status());
    HttpReply byPeer = deployment.call(deployment.outcomeQuery(1, id, "key-one"));
    assertEquals("answered", TestDeployment.json(byPeer).path("outcome").asText(), byPeer.body());
    HttpReply otherWorkspace = deployment.call(deployment.outcomeQuery(0, id, "key-two"));
    assertEquals("not_run", TestDeployment.json(otherWorkspace).path("outcome").asText());
    assertEquals(401, deployment.call(deployment.outcomeQuery(0, id, "key-of-nobody")).status());
    assertEquals(1, deployment.executionCount(id));
  }

  /**
   * A caller that sends a non-repeatable request to two instances at the same time must not make it
   * run twice: only the home of the identifier starts it.
   */
  @Test
  void sameIdentifierSentToTwoInstancesRunsOnce() {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      String id = deployment.newId(i % 2);
      ids.add(id);
      for (int instance = 0; instance < 2; instance++) {
        replies.add(
            deployment.http.call("test", deployment.plainCall(instance, id, "{\"n\":" + i + "}")));
      }
    }
    for (CompletableFuture<HttpReply> reply : replies) {
      assertEquals(200, reply.join().status(), reply.join().body());
    }
    for (String id : ids) {
      assertEquals(1, deployment.executionCount(id));
    }
  }

  @Test
  void invalidInputIsRejectedWithItsCause() {
    Map<HttpCall, String> cases =
        Map.of(
            deployment.chatCall(0, "x").with("Authorization", "Bearer no"),
            "key is missing",
            deployment.chatCall(0, "x").with("Arbutus-Deadline-Ms", "soon"),
            "Arbutus-Deadline-Ms",
            deployment.chatCall(0, ""),
            "question must be",
            HttpCall.post(deployment.uri(0, "/v1/pipelines/chat"), "{", 2_000)
                .with("Authorization", "Bearer key-one"),
            "not JSON",
            HttpCall.post(
                    deployment.uri(0, "/v1/pipelines/chat"),
                    "[".repeat(5_000) + "]".repeat(5_000),
                    2_000)
                .with("Authorization", "Bearer key-one"),
            "not JSON",
            HttpCall.post(deployment.uri(0, "/v1/services/plain"), "{}", 2_000)
                .with("Authorization", "Bearer key-one"),
            "needs Arbutus-Request-Id",
            deployment.plainCall(0, "entry-0.1.1.0123456789abcdef.x", "{}"),
            "signature is not genuine",
            HttpCall.get(deployment.uri(0, "/v1/addresses?dc=NO"), 2_000),
            "data centre must");
    cases.forEach(
        (call, message) -> {
          HttpReply reply = deployment.call(call);
          assertTrue(reply.status() >= 400 && reply.status() < 500, reply.body());
          assertTrue(reply.body().contains(message), reply.body());
          assertTrue(reply.body().contains("not_run"), reply.body());
        });
  }

  @Test
  void unknownPipelineIsRejectedAsNotRun() {
    HttpReply reply =
        deployment.call(
            HttpCall.post(deployment.uri(0, "/v1/pipelines/none"), "{\"question\":\"x\"}", 2_000)
                .with("Authorization", "Bearer key-one"));
    assertEquals(404, reply.status());
    assertEquals(
        "no_such_target", TestDeployment.json(reply).path("reason").asText(), reply.body());
  }

  /** A body above the size limit is rejected, and the instance still serves other requests. */
  @Test
  void oversizedBodyIsRejectedAndOthersAreServed() {
    HttpReply reply =
        deployment.call(
            HttpCall.post(deployment.uri(0, "/v1/pipelines/chat"), "x".repeat(2 << 20), 5_000)
                .with("Authorization", "Bearer key-one"));
    assertEquals(413, reply.status());
    assertEquals(200, deployment.call(deployment.chatCall(0, "still there")).status());
  }

  /**
   * Clients that open connections and never complete a request line must not occupy the threads
   * that serve other callers.
   */
  @Test
  void idleConnectionsDoNotBlockOtherRequests() throws IOException {
    List<Socket> idle = new ArrayList<>();
    try {
      for (int i = 0; i < 2_000; i++) {
        Socket socket =
            new Socket(
                deployment.instances.get(0).callers().host(),
                deployment.instances.get(0).callers().port());
        socket.getOutputStream().write("GET / HT".getBytes(StandardCharsets.UTF_8));
        idle.add(socket);
      }
      assertEquals(200, deployment.call(deployment.chatCall(0, "still there")).status());
    } finally {
      for (Socket socket : idle) {
        socket.close();
      }
    }
  }

  /** Neither a request without a key nor one with a workspace's key may read operator data. */
  @Test
  void operatorPathsNeedTheOperatorKey() {
    for (String path : List.of("/ops/v1/status", "/ops/v1/config", "/")) {
      assertEquals(401, deployment.call(HttpCall.get(deployment.uri(0, path), 2_000)).status());
      HttpCall withWorkspaceKey =
          HttpCall.get(deployment.uri(0, path), 2_000).with("Authorization", "Bearer key-one");
      assertEquals(401, deployment.call(withWorkspaceKey).status());
    }
    HttpCall page =
        HttpCall.get(deployment.uri(0, "/"), 2_000)
            .with("Authorization", "Bearer " + TestDeployment.OPERATOR_KEY);
    assertTrue(deployment.call(page).body().contains("<h2>Upstreams</h2>"));
  }

  @Test
  void healthReadinessAndMetricsNeedNoKey() {
    for (String path : List.of("/healthz", "/readyz")) {
      assertEquals(200, deployment.call(HttpCall.get(deployment.uri(0, path), 2_000)).status());
    }
    String metrics = deployment.call(HttpCall.get(deployment.uri(0, "/metrics"), 2_000)).body();
    assertTrue(metrics.contains("arbutusspar_revision"), metrics);
    assertTrue(metrics.contains("arbutusspar_task_failures 0.0"), metrics);
  }

  /** A change that is appended to the log must reach both instances, which read it on their own. */
  @Test
  void changeIsInForceAtAllInstancesWithinFourSeconds() {
    long revisionBefore = deployment.status(0).path("revision").asLong();
    deployment.append(deployment.change(List.of(TestDeployment.workspace("three"))));
    long startNanos = System.nanoTime();
    TestDeployment.await(
        () ->
            deployment.status(0).path("revision").asLong() > revisionBefore
                && deployment.status(1).path("revision").asLong() > revisionBefore);
    assertTrue(System.nanoTime() - startNanos < 4_000_000_000L);
    HttpCall call = deployment.chatCall(1, "new key").with("Authorization", "Bearer key-three");
    assertEquals(200, deployment.call(call).status());
  }

  @Test
  void statusListsBothInstancesWithoutSuspicion() {
    JsonNode members = deployment.status(1).path("members");
    assertEquals(2, members.size());
    assertFalse(members.toString().contains("suspect"));
  }
}

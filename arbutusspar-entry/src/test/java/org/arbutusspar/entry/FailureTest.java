package org.arbutusspar.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests two instances, over real sockets, while an instance, the platform or replicas fail. Each
 * test starts a deployment of its own.
 */
class FailureTest {

  private TestDeployment deployment;

  @BeforeEach
  void start() throws IOException {
    deployment = TestDeployment.start(2, false);
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private String outcome(HttpReply reply) {
    return TestDeployment.json(reply).path("outcome").asText();
  }

  /**
   * Guards against requests that fail during a graceful shutdown: callers that cached the address
   * of the leaving instance send requests to it until the cache time is over.
   */
  @Test
  void gracefulShutdownFailsNoRequest() {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    CompletableFuture<Void> drained =
        CompletableFuture.runAsync(() -> deployment.daemons.get(0).drain());
    long sendEndNanos = System.nanoTime() + 1_500_000_000L;
    for (int i = 0; System.nanoTime() < sendEndNanos; i++) {
      replies.add(deployment.http.call("test", deployment.chatCall(0, "question " + i)));
      TestDeployment.sleep(10);
    }
    drained.join();
    for (CompletableFuture<HttpReply> reply : replies) {
      assertEquals("answered", outcome(reply.join()), reply.join().body());
    }
    JsonNode status = deployment.status(1);
    TestDeployment.await(() -> deployment.status(1).path("members").size() == 1);
    assertEquals("", status.path("notReady").asText());
  }

  /**
   * Guards against a second run of a non-repeatable request whose home has terminated. Its outcome
   * is lost with the home, so neither the other instance nor the restarted one, which is a new
   * incarnation, can tell whether it ran.
   */
  @Test
  void requestOfTerminatedHomeIsNotRunAgain() {
    String id = deployment.newId(0);
    assertEquals("answered", outcome(deployment.call(deployment.plainCall(0, id, "{}"))));
    deployment.daemons.get(0).close();
    HttpReply retry = deployment.call(deployment.plainCall(1, id, "{}"));
    assertEquals("unknown", outcome(retry), retry.body());
    assertEquals(1, deployment.executionCount(id));
    EntryDaemon restarted = deployment.startDaemon(0);
    deployment.daemons.set(0, restarted);
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() >= 1);
    HttpReply atRestarted = deployment.call(deployment.plainCall(0, id, "{}"));
    assertEquals("unknown", outcome(atRestarted), atRestarted.body());
    assertEquals(1, deployment.executionCount(id));
  }

  /**
   * Replicas close the connection in the middle of each response. The non-repeatable request has
   * then run, so it must not be sent to the second replica, also not on a client retry.
   */
  @Test
  void truncatedResponseOfPlainServiceIsUnknownAndNotRetried() {
    deployment.replicaFault("plain-0", "cutEvery=1");
    deployment.replicaFault("plain-1", "cutEvery=1");
    String id = deployment.newId(0);
    assertEquals("unknown", outcome(deployment.call(deployment.plainCall(0, id, "{}"))));
    assertEquals("unknown", outcome(deployment.call(deployment.plainCall(1, id, "{}"))));
    assertEquals(1, deployment.executionCount(id));
  }

  /**
   * A replica closes the connection in the middle of every second response. Pipelines are
   * repeatable, so the stage is retried and the caller gets a complete answer.
   */
  @Test
  void truncatedStreamsAreRetriedAndAnsweredInFull() {
    deployment.replicaFault("gen-0", "cutEvery=2");
    for (int i = 0; i < 8; i++) {
      HttpReply reply = deployment.call(deployment.chatCall(0, "question " + i));
      assertEquals("answered", outcome(reply), reply.body());
    }
  }

  /** An instance that starts while the log is down must adopt the configuration of its peer. */
  @Test
  void instanceGetsConfigurationFromPeersWhileLogIsDown() {
    deployment.daemons.get(0).close();
    deployment.platformFault("log=down");
    deployment.daemons.set(0, deployment.startDaemon(0));
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() >= 1);
    TestDeployment.await(
        () -> outcome(deployment.call(deployment.chatCall(0, "x"))).equals("answered"));
  }

  /** An instance that can read no configuration must report this and not count as ready. */
  @Test
  void instanceWithoutLogAndPeersIsNotReady() {
    deployment.daemons.get(0).close();
    deployment.daemons.get(1).close();
    deployment.platformFault("log=down");
    deployment.daemons.set(0, deployment.startDaemon(0));
    TestDeployment.await(
        () -> deployment.status(0).path("notReady").asText().startsWith("configuration"));
  }

  /**
   * A replica starts to leave while the platform's list is down. Only its load report then says so,
   * and the instance must stop sending it requests.
   */
  @Test
  void leavingReplicaGetsNoRequestsWhileListIsDown() {
    deployment.platformFault("list=down");
    deployment.replicaFault("plain-0", "leaving=true");
    TestDeployment.sleep(3_500);
    for (int i = 0; i < 20; i++) {
      String id = deployment.newId(0);
      assertEquals("answered", outcome(deployment.call(deployment.plainCall(0, id, "{}"))));
    }
    JsonNode status = deployment.status(0);
    assertTrue(
        status.toString().contains("\"plain-0\",\"dataCentre\":\"here\",\"state\":\"leaving\""));
  }

  /**
   * Sends calls of the pipeline at the same time, and expects an answer to each.
   *
   * @param count number of calls
   * @param pool name of the connection pool of the calls, also part of the questions
   */
  private void expectAnswersToConcurrentCalls(int count, String pool) {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HttpCall call = deployment.chatCall(0, pool + " " + i).inPool(pool);
      replies.add(deployment.http.call("test", call));
    }
    for (CompletableFuture<HttpReply> reply : replies) {
      assertEquals("answered", outcome(reply.join()), reply.join().body());
    }
  }

  /**
   * All open connections to replicas stop delivering data without being closed, while new
   * connections work. Calls must move to new connections and succeed, and the replicas must not be
   * ejected for the fault of the connections.
   */
  @Test
  void silentConnectionsAreRetiredWithoutEjectingReplicas() {
    expectAnswersToConcurrentCalls(60, "before");
    for (String replica : List.of("enc-0", "enc-1", "ret-0", "ret-1", "gen-0", "gen-1")) {
      deployment.replicaFault(replica, "silenceConnections=now");
    }
    expectAnswersToConcurrentCalls(60, "after");
    assertTrue(!deployment.status(0).toString().contains("ejected"));
  }

  /**
   * The connection on which an instance reads the log stops delivering data without being closed.
   * The read must time out and move to a new connection, so that a change is in force in time.
   */
  @Test
  void silentLogConnectionDelaysChangeByLessThanFourSeconds() {
    deployment.platformFault("silenceConnections=now");
    long revisionBefore = deployment.status(0).path("revision").asLong();
    long startNanos = System.nanoTime();
    deployment.append(deployment.change(List.of(TestDeployment.workspace("three"))));
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() > revisionBefore);
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    assertTrue(millis < 4_000, "took " + millis + " ms");
  }
}

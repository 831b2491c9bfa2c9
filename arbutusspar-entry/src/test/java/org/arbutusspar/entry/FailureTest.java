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

/** Failures of instances, the platform and upstreams, over real sockets. */
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

  @Test
  void gracefulShutdownCutsNoRequest() {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    CompletableFuture<Void> drained =
        CompletableFuture.runAsync(() -> deployment.daemons.get(0).drain());
    long end = System.nanoTime() + 1_500_000_000L;
    for (int i = 0; System.nanoTime() < end; i++) {
      replies.add(deployment.http.call("test", deployment.question(0, "question " + i)));
      TestDeployment.sleep(10);
    }
    drained.join();
    for (CompletableFuture<HttpReply> each : replies) {
      assertEquals("answered", outcome(each.join()), each.join().body());
    }
    JsonNode status = deployment.status(1);
    TestDeployment.await(() -> deployment.status(1).path("members").size() == 1);
    assertEquals("", status.path("notReady").asText());
  }

  @Test
  void requestOfDeadHomeIsNeverRunAgain() {
    String id = deployment.newId(0);
    assertEquals("answered", outcome(deployment.call(deployment.once(0, id, "{}"))));
    deployment.daemons.get(0).close();
    HttpReply retry = deployment.call(deployment.once(1, id, "{}"));
    assertEquals("unknown", outcome(retry), retry.body());
    assertEquals(1, deployment.runs(id));
    EntryDaemon next = deployment.startDaemon(0);
    deployment.daemons.set(0, next);
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() >= 1);
    HttpReply atNext = deployment.call(deployment.once(0, id, "{}"));
    assertEquals("unknown", outcome(atNext), atNext.body());
    assertEquals(1, deployment.runs(id));
  }

  @Test
  void cutAnswerOfPlainServiceIsUnknownAndNotRepeated() {
    deployment.replicaFault("plain-0", "cutEvery=1");
    deployment.replicaFault("plain-1", "cutEvery=1");
    String id = deployment.newId(0);
    assertEquals("unknown", outcome(deployment.call(deployment.once(0, id, "{}"))));
    assertEquals("unknown", outcome(deployment.call(deployment.once(1, id, "{}"))));
    assertEquals(1, deployment.runs(id));
  }

  @Test
  void cutStreamsAreTriedAgainAndAnsweredWhole() {
    deployment.replicaFault("gen-0", "cutEvery=2");
    for (int i = 0; i < 8; i++) {
      HttpReply reply = deployment.call(deployment.question(0, "question " + i));
      assertEquals("answered", outcome(reply), reply.body());
    }
  }

  @Test
  void instanceBootsFromItsPeersWhileTheLogIsDown() {
    deployment.daemons.get(0).close();
    deployment.fault("log=down");
    deployment.daemons.set(0, deployment.startDaemon(0));
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() >= 1);
    TestDeployment.await(
        () -> outcome(deployment.call(deployment.question(0, "x"))).equals("answered"));
  }

  @Test
  void instanceThatReachesNeitherLogNorPeersSaysSo() {
    deployment.daemons.get(0).close();
    deployment.daemons.get(1).close();
    deployment.fault("log=down");
    deployment.daemons.set(0, deployment.startDaemon(0));
    TestDeployment.await(
        () -> deployment.status(0).path("notReady").asText().startsWith("configuration"));
  }

  @Test
  void leavingReplicaGetsNoNewWorkThoughTheListIsDown() {
    deployment.fault("list=down");
    deployment.replicaFault("plain-0", "leaving=true");
    TestDeployment.sleep(3_500);
    for (int i = 0; i < 20; i++) {
      String id = deployment.newId(0);
      assertEquals("answered", outcome(deployment.call(deployment.once(0, id, "{}"))));
    }
    JsonNode status = deployment.status(0);
    assertTrue(
        status.toString().contains("\"plain-0\",\"dataCentre\":\"here\",\"state\":\"leaving\""));
  }

  /** Asks many questions at once and expects an answer to each. */
  private void askTogether(int count, String text) {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HttpCall call = deployment.question(0, text + " " + i).inPool(text);
      replies.add(deployment.http.call("test", call));
    }
    for (CompletableFuture<HttpReply> each : replies) {
      assertEquals("answered", outcome(each.join()), each.join().body());
    }
  }

  @Test
  void silentConnectionsToUpstreamsAreRetiredAndTheReplicasNotCondemned() {
    askTogether(60, "before");
    for (String replica : List.of("enc-0", "enc-1", "ret-0", "ret-1", "gen-0", "gen-1")) {
      deployment.replicaFault(replica, "silenceConnections=now");
    }
    askTogether(60, "after");
    assertTrue(!deployment.status(0).toString().contains("ejected"));
  }

  @Test
  void silentConnectionToTheLogDelaysChangesByLessThanFourSeconds() {
    deployment.fault("silenceConnections=now");
    long before = deployment.status(0).path("revision").asLong();
    long start = System.nanoTime();
    deployment.append(deployment.change(List.of(TestDeployment.workspace("three"))));
    TestDeployment.await(() -> deployment.status(0).path("revision").asLong() > before);
    long millis = (System.nanoTime() - start) / 1_000_000;
    assertTrue(millis < 4_000, "took " + millis + " ms");
  }
}

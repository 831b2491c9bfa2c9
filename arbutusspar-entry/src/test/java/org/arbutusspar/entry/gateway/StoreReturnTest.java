package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.junit.jupiter.api.Test;

/**
 * Tests instances with a store that is away and returns from a copy some seconds old: records are
 * lost, and their offsets are given out again.
 */
class StoreReturnTest extends GatewayRig {

  private static final String INSTANCES_TOPIC = "keyed.instances";
  private static final long OUTAGE_MILLIS = 800;

  private int sent;

  private int status(Instance instance, String key) {
    return call(instance, "/p/x", "s" + sent++, key).status();
  }

  /** Appends records that change nothing, so that offsets grow. */
  private void heartbeats(int count) {
    for (int i = 0; i < count; i++) {
      store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
      store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
    }
  }

  private void returnAfterOutage() {
    store.setFault(StoreStandin.Fault.DOWN);
    sleep(OUTAGE_MILLIS);
    store.returnFromCopy();
    store.setFault(StoreStandin.Fault.NONE);
  }

  /** Starts instances of which the last one does not read the store itself. */
  private List<Instance> startInstances() throws IOException {
    List<Instance> instances = new ArrayList<>(List.of(startReadyInstance()));
    for (int i = 2; i <= 5; i++) {
      instances.add(
          startInstance("e-" + i, "127.0.0." + i, List.of(instances.get(0).settings().links())));
    }
    await(() -> instances.stream().allMatch(i -> isReady(i) && status(i, "key") == 200));
    return instances;
  }

  /** Withdrawn keys were accepted again, and changes after the return were ignored. */
  @Test
  void configurationNeitherGoesBackNorStaysBehind() throws IOException {
    final List<Instance> instances = startInstances();
    store.takeCopy();
    heartbeats(20);
    store.putConfiguration(SampleTraffic.configuration(5, "new"));
    store.putConfiguration(SampleTraffic.configuration(6, "newer"));
    await(() -> instances.stream().allMatch(i -> status(i, "newer") == 200), MAX_APPLY_MILLIS);
    returnAfterOutage();
    for (int round = 0; round < 15; round++) {
      for (Instance instance : instances) {
        assertEquals(401, status(instance, "key"));
        assertEquals(200, status(instance, "newer"));
      }
      sleep(100);
    }
    store.putConfiguration(SampleTraffic.configuration(6, "newer"));
    store.putConfiguration(SampleTraffic.configuration(7, "last"));
    await(() -> instances.stream().allMatch(i -> status(i, "last") == 200), MAX_APPLY_MILLIS);
    instances.forEach(instance -> assertEquals(401, status(instance, "newer")));
  }

  /** Requests were sent to a replica that had left, since the copy still had its entry. */
  @Test
  void replicaThatLeftBeforeTheReturnIsNotUsedUntilItWritesAgain() throws IOException {
    final Instance instance = startReadyInstance();
    ReplicaStandin other = closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    String entry = other.listEntry(SampleTraffic.ENGINE, false);
    store.putReplica("i-3", entry);
    store.putReplica("i-1", "");
    await(() -> status(instance, "key") == 200 && !other.executedTargets().isEmpty());
    store.takeCopy();
    heartbeats(3);
    store.putReplica("i-3", "");
    sleep(1_300);
    other.executedTargets().clear();
    returnAfterOutage();
    store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
    for (int i = 0; i < 30; i++) {
      status(instance, "key");
      sleep(50);
    }
    assertTrue(other.executedTargets().isEmpty());
    store.putReplica("i-3", entry);
    store.putReplica("i-1", "");
    await(() -> status(instance, "key") == 200 && !other.executedTargets().isEmpty());
  }

  /** Requests were rejected although the only replica was there, since the copy lacked it. */
  @Test
  void replicaThatTheCopyLacksStaysInUseAndItsLossIsNoticed() throws IOException {
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of());
    store.putReplica("i-1", "");
    await(() -> isReady(instance));
    store.takeCopy();
    heartbeats(5);
    await(() -> status(instance, "key") == 200);
    returnAfterOutage();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, status(instance, "key"));
      sleep(50);
    }
    heartbeats(1);
    for (int i = 0; i < 30; i++) {
      assertEquals(200, status(instance, "key"));
      sleep(50);
    }
    store.putReplica("i-1", "");
    await(() -> status(instance, "key") == 503, 4_000);
  }

  /** Instances that start after the return did not find those whose announcement was lost. */
  @Test
  void announcementsThatAreLostAreWrittenAgain() throws IOException {
    store.takeCopy();
    final List<Instance> instances = startInstances();
    returnAfterOutage();
    await(() -> instances.stream().allMatch(this::isAnnounced), 10_000);
  }

  private boolean isAnnounced(Instance instance) {
    try {
      return store.hasRow(INSTANCES_TOPIC, instance.settings().instance());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}

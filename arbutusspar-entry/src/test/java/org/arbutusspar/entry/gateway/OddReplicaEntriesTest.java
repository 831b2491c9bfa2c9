package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Tests an instance whose list of replicas has entries that another writer left there. */
class OddReplicaEntriesTest extends GatewayRig {

  /** Maximum time in which a change of the list of replicas has to take effect. */
  private static final long MAX_LIST_DELAY_MILLIS = 2_000;

  /**
   * Guards against instances that end, or no longer follow the list of replicas, after they have
   * read an odd entry. Later changes of the list must take effect, also at an instance that starts
   * with the odd entries.
   */
  @Test
  void listIsFollowedAfterOddEntries() throws IOException {
    Instance first = startReadyInstance();
    putOddEntries();
    final Instance second = startInstance("e-2", SECOND_ADDRESS, List.of(first.settings().links()));
    await(() -> isReady(second));
    ReplicaStandin added = closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    store.putReplica("i-1", "");
    store.putReplica("i-3", added.listEntry(SampleTraffic.ENGINE, false));
    for (Instance instance : List.of(first, second)) {
      await(() -> isServedBy(instance, added), MAX_LIST_DELAY_MILLIS);
      engine.executedHeaders().clear();
      for (int i = 0; i < 10; i++) {
        assertTrue(isServedBy(instance, added));
      }
      assertTrue(engine.executedHeaders().isEmpty());
    }
  }

  private boolean isServedBy(Instance instance, ReplicaStandin replica) {
    int runsBefore = replica.executedHeaders().size();
    boolean served = call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200;
    return served && replica.executedHeaders().size() > runsBefore;
  }

  private void putOddEntries() {
    String valid = engine.listEntry(SampleTraffic.ENGINE, false);
    String port = ":" + engine.endpoint().port();
    String deep = "[".repeat(100_000);
    store.putReplica("odd-1", deep);
    store.putReplica("odd-2", valid.replace("\"born\":1", "\"born\":" + deep));
    store.putReplica("odd-3", valid.replace("\"born\":1", "\"born\":" + "9".repeat(5_000)));
    store.putReplica("odd-4", valid.replace("\"slots\":8", "\"slots\":1e400"));
    store.putReplica("odd-5", valid.replace(port, ":99999"));
    store.putReplica("odd-6", valid.replace(FIRST_ADDRESS, "..."));
    store.putReplica("odd-7", valid.replace("\"a\"", "\"no such place\""));
    store.putReplica("odd-8", "\u0000\u0001");
  }
}

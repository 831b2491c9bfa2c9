package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.RowRules;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Guards that nothing goes back, and that a malformed row is taken over like any other. */
class RowRulesTest {

  private static final byte[] MALFORMED = "{broken".getBytes(UTF_8);

  private static byte[] replica(boolean leaving, int born) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    return ReplicaStandin.listEntry(endpoint, SampleTraffic.ENGINE, leaving)
        .replace("\"born\":1", "\"born\":" + born)
        .getBytes(UTF_8);
  }

  private static byte[] configuration(int version) {
    return SampleTraffic.configuration(version, "key").getBytes(UTF_8);
  }

  private static byte[] announcement(long incarnation) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    Peer peer = new Peer("e", incarnation, DataCentre.of("a"), endpoint, endpoint, 1);
    return PeerCodec.encode(new PeerMessage.Hello(peer, List.of()), 0);
  }

  private static byte[] decision(long decidedMillis) {
    BlockDecision decision = BlockDecision.blocked("p", decidedMillis, 1_000);
    return PeerCodec.encode(new PeerMessage.Block(decision), 0);
  }

  private static void assertOrder(RowRules rules, byte[] older, byte[] newer) {
    assertTrue(rules.isOlder(newer, older));
    assertFalse(rules.isOlder(older, newer));
    assertFalse(rules.isOlder(newer, newer));
    assertFalse(rules.isOlder(newer, MALFORMED));
    assertFalse(rules.isOlder(MALFORMED, older));
  }

  @Test
  void rowsAreOrderedByWhatTheySay() {
    assertOrder(new ConfigurationRules(), configuration(4), configuration(5));
    assertOrder(new ReplicaRules(), replica(false, 1), replica(true, 1));
    assertOrder(new ReplicaRules(), replica(true, 1), replica(false, 2));
    assertOrder(new InstanceRules(), announcement(7), announcement(8));
    assertOrder(new InstanceRules(), decision(7), decision(8));
  }

  private static byte[] coldReplica(long warmUpMillis) {
    String entry = new String(replica(false, 1), UTF_8);
    return entry
        .replace("\"born\":1", "\"born\":1,\"warmup_left_ms\":" + warmUpMillis)
        .getBytes(UTF_8);
  }

  /** Each heartbeat of a cold replica states less time; passing all of them on would cost much. */
  @Test
  void replicaChangesAsItGetsWarmOrColdAgain() {
    RowRules rules = new ReplicaRules();
    assertTrue(rules.sameContent(coldReplica(3_000), coldReplica(1_800)));
    assertFalse(rules.sameContent(coldReplica(600), coldReplica(0)));
    assertFalse(rules.sameContent(coldReplica(0), coldReplica(3_000)));
    assertFalse(rules.sameContent(coldReplica(600), coldReplica(3_000)));
    assertFalse(rules.sameContent(coldReplica(600), replica(true, 1)));
    assertFalse(rules.sameContent(coldReplica(600), MALFORMED));
  }
}

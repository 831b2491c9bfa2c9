package org.arbutusspar.core.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Guards the gossip membership: all instances must agree on who serves, with a bounded number of
 * links and messages, although instances stop, pause, restart or are suspected wrongly.
 */
class MembershipTest {

  private static final long HEARTBEAT_INTERVAL_NANOS = Nanos.ofMillis(500);

  /** Returns the first record of an incarnation of instance {@code n<number>}. */
  static MemberRecord record(int number, long incarnation) {
    Endpoint endpoint = new Endpoint("127.0." + number / 250 + "." + (1 + number % 250), 7_000);
    return new MemberRecord(
        new Home(InstanceId.of("n" + number), incarnation),
        incarnation,
        endpoint,
        new Endpoint(endpoint.host(), 7_001),
        DataCentre.of("dc" + number % 3),
        MemberStatus.LIVE,
        1);
  }

  /**
   * Instances that exchange gossip over their links in synchronous rounds of {@link
   * #HEARTBEAT_INTERVAL_NANOS}. Links to instances that are not running fail.
   */
  private static final class SimulatedNetwork {
    private final List<Membership> members = new ArrayList<>();
    private final List<Boolean> running = new ArrayList<>();
    private long now;
    private long messages;
    private long records;

    private SimulatedNetwork(int size) {
      List<Endpoint> all = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        all.add(record(i, 1).links());
      }
      for (int i = 0; i < size; i++) {
        Membership member = Membership.create(record(i, 1));
        member.onListed(all);
        members.add(member);
        running.add(true);
      }
    }

    /** Returns the running instance that listens on an endpoint, or null. */
    private Membership runningAt(Endpoint endpoint) {
      for (int i = 0; i < members.size(); i++) {
        if (members.get(i).self().links().equals(endpoint) && running.get(i)) {
          return members.get(i);
        }
      }
      return null;
    }

    private void runRound() {
      now += HEARTBEAT_INTERVAL_NANOS;
      for (int i = 0; i < members.size(); i++) {
        if (!running.get(i)) {
          continue;
        }
        Membership from = members.get(i);
        from.onTick(now);
        for (Endpoint endpoint : from.linkTargets()) {
          exchange(from, endpoint);
        }
      }
    }

    private void exchange(Membership from, Endpoint endpoint) {
      Membership to = runningAt(endpoint);
      if (to == null) {
        from.onLinkFailed(endpoint, now);
        return;
      }
      from.onLinkUp(to.self(), now);
      List<MemberRecord> sent = from.gossipFor(to.self().home());
      to.onGossip(sent, now);
      List<MemberRecord> received = to.gossipFor(from.self().home());
      from.onGossip(received, now);
      messages += 2;
      records += sent.size() + received.size();
    }

    /**
     * Runs rounds until each running instance knows a number of serving instances.
     *
     * @return number of rounds that were run
     */
    private int roundsUntilAgreement(int serving, int maxRounds) {
      for (int i = 1; i <= maxRounds; i++) {
        runRound();
        boolean agreed = true;
        for (int m = 0; m < members.size(); m++) {
          agreed &= !running.get(m) || members.get(m).serving().size() == serving;
        }
        if (agreed) {
          return i;
        }
      }
      throw new AssertionError(
          "no agreement on the number of serving instances: "
              + serving
              + " after "
              + maxRounds
              + " rounds");
    }
  }

  @Test
  void nineInstancesDiscoverEachOtherAndDetectStoppedOne() {
    SimulatedNetwork network = new SimulatedNetwork(9);
    network.roundsUntilAgreement(9, 10);
    network.running.set(4, false);
    int rounds = network.roundsUntilAgreement(8, 20);
    assertTrue(rounds * 0.5 <= 5, "took " + rounds * 0.5 + " s");
  }

  @Test
  void leavingInstanceIsNotGivenToCallers() {
    SimulatedNetwork network = new SimulatedNetwork(5);
    network.roundsUntilAgreement(5, 10);
    network.members.get(2).leave();
    network.runRound();
    network.runRound();
    AddressBook book = AddressBook.create(1);
    for (int i = 0; i < 100; i++) {
      AddressAnswer answer = book.answer(network.members.get(0).serving(), Optional.empty());
      assertTrue(answer.instances().stream().noneMatch(m -> m.instance().value().equals("n2")));
      assertTrue(answer.keepMillis() <= AddressBook.MAX_CACHE_MILLIS);
    }
  }

  @Test
  void instanceThatResumesAfterPauseIsServingAgain() {
    SimulatedNetwork network = new SimulatedNetwork(6);
    network.roundsUntilAgreement(6, 10);
    network.running.set(3, false);
    network.roundsUntilAgreement(5, 20);
    network.running.set(3, true);
    network.roundsUntilAgreement(6, 20);
  }

  @Test
  void laterIncarnationReplacesAnEarlierOne() {
    Membership member = Membership.create(record(0, 1));
    member.onLinkUp(record(1, 1), 0);
    member.onLinkUp(record(1, 5), 1);
    member.onGossip(List.of(record(1, 1)), 2);
    assertEquals(
        5, member.serving().get(1).home().incarnation(), "a record of the earlier one is ignored");
  }

  @Test
  void unreachablePeerIsSuspectedBeforeItIsDead() {
    Membership member = Membership.create(record(0, 1));
    member.onLinkUp(record(1, 1), 0);
    member.onLinkFailed(record(1, 1).links(), 0);
    assertEquals(MemberStatus.SUSPECT, member.serving().get(1).status());
    member.onTick(Membership.SUSPICION_TIMEOUT_NANOS);
    assertEquals(1, member.serving().size());
  }

  @Test
  void instanceRefutesWrongReportAboutItself() {
    Membership member = Membership.create(record(0, 1));
    member.onGossip(List.of(record(0, 1).withStatus(MemberStatus.DEAD, 4)), 0);
    assertEquals(MemberStatus.LIVE, member.self().status());
    assertEquals(5, member.self().version());
  }

  @Test
  void largeDeploymentAgreesWithBoundedLinksAndMessages() {
    SimulatedNetwork network = new SimulatedNetwork(340);
    network.roundsUntilAgreement(340, 60);
    for (Membership each : network.members) {
      assertTrue(each.linkTargets().size() <= Membership.MAX_LINKED_PEERS);
    }
    network.messages = 0;
    network.records = 0;
    network.running.set(100, false);
    int rounds = network.roundsUntilAgreement(339, 60);
    double messagesPerInstanceSecond = network.messages / 340.0 / (rounds * 0.5);
    System.out.printf(
        "340 instances: all know of the stopped one after %.1f s, %.1f messages per instance and "
            + "second, %.1f records per message%n",
        rounds * 0.5, messagesPerInstanceSecond, network.records / (double) network.messages);
    assertTrue(messagesPerInstanceSecond <= 4 * Membership.MAX_LINKED_PEERS + 1);
    assertFalse(rounds * 0.5 > 15, "took " + rounds * 0.5 + " s");
  }

  @Test
  void addressesPreferCallersDataCentreAndIdleInstances() {
    List<MemberRecord> members = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      members.add(record(i, 1));
    }
    AddressBook book = AddressBook.create(3);
    book.onLoad(record(0, 1).home(), 900);
    book.onLoad(record(3, 1).home(), 0);
    int busy = 0;
    int idle = 0;
    int local = 0;
    for (int i = 0; i < 1_000; i++) {
      MemberRecord first =
          book.answer(members, Optional.of(DataCentre.of("dc0"))).instances().get(0);
      busy += first.instance().value().equals("n0") ? 1 : 0;
      idle += first.instance().value().equals("n3") ? 1 : 0;
      local += first.dataCentre().value().equals("dc0") ? 1 : 0;
    }
    assertTrue(idle > 20 * Math.max(1, busy), "idle " + idle + ", busy " + busy);
    assertTrue(local > 500, "local " + local);
  }
}

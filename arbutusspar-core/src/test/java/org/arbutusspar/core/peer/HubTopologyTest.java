package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

/**
 * Guards that what an instance spends on its peers does not grow with their number, and that all
 * instances agree on the holders of roles again after hubs have failed, restarted or been cut off.
 * The instances run on a network in memory with a virtual clock.
 */
class HubTopologyTest {

  private static final long TICK_MILLIS = 400;
  private static final DataCentre HERE = DataCentre.of("a");

  /** Every sixth instance has a large machine. */
  private static Peer peer(int number, long incarnation) {
    return new Peer(
        "e" + number,
        incarnation,
        HERE,
        new Endpoint("10.0.0.1", 7_000 + number),
        new Endpoint("10.0.0.1", 8_000 + number),
        number % 6 == 0 ? 150 : 36);
  }

  /** An instance with its links. */
  private static final class Instance {
    private final Peer peer;
    private final PeerTable table;
    private final PeerStateReport report = PeerStateReport.create();
    private final Set<String> links = new TreeSet<>();
    private long lastHeartbeat;
    private long announcedMillis;
    private boolean reporting;
    private int messages;

    private Instance(Peer peer, Topology topology) {
      this.peer = peer;
      this.table = PeerTable.create(peer, topology);
    }
  }

  /** Instances that exchange heartbeats and reports in lock step. */
  private static final class Network {
    private final Topology topology;
    private final Map<String, Instance> instances = new TreeMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private long now;

    private Network(Topology topology, int count) {
      this.topology = topology;
      for (int i = 1; i <= count; i++) {
        start(peer(i, i));
      }
    }

    private void start(Peer peer) {
      Instance started = new Instance(peer, topology);
      instances.put(peer.name(), started);
      for (Instance other : instances.values()) {
        other.table.discover(peer);
        started.table.discover(other.peer);
      }
      setStatus(started);
    }

    private void setStatus(Instance instance) {
      long interval = instance.table.heartbeatMillis(now);
      instance.table.ownStatus(
          new PeerStatus(true, false, interval, StoreView.NONE, Map.of(), Set.of()));
    }

    /** Ends instances without notice: their links stay silent and new ones cannot be opened. */
    private void kill(List<String> names) {
      names.forEach(instances::remove);
    }

    private boolean canReach(String from, String to) {
      return instances.containsKey(to) && cutOff.contains(from) == cutOff.contains(to);
    }

    private void run(long millis) {
      for (long end = now + Nanos.ofMillis(millis); now < end; now += Nanos.ofMillis(TICK_MILLIS)) {
        for (Instance instance : List.copyOf(instances.values())) {
          dropSilentLinks(instance);
          for (Peer target : instance.table.linkTargets(now)) {
            dial(instance, target);
          }
          setStatus(instance);
          report(instance);
          sendHeartbeat(instance);
        }
      }
    }

    private void dropSilentLinks(Instance instance) {
      for (String name : List.copyOf(instance.links)) {
        if (!instance.table.isLive(name, now)) {
          instance.links.remove(name);
          instance.table.onDown(name, true, now);
        }
      }
    }

    private void dial(Instance instance, Peer target) {
      String name = instance.peer.name();
      if (instance.links.contains(target.name())) {
        return;
      }
      if (!canReach(name, target.name())) {
        instance.table.onUnreachable(target.name(), now);
        return;
      }
      Instance other = instances.get(target.name());
      instance.links.add(target.name());
      other.links.add(name);
      instance.table.onHeartbeat(target.name(), other.table.ownStatus(), now);
      other.table.onHeartbeat(name, instance.table.ownStatus(), now);
      if (other.reporting) {
        instance.table.onReport(target.name(), other.report.all());
      }
    }

    private void report(Instance instance) {
      List<PeerState> changed = instance.report.update(instance.table.states(now));
      boolean wasReporting = instance.reporting;
      instance.reporting |= instance.links.size() > instance.table.hubs(now).size();
      List<PeerState> unreported = wasReporting ? changed : instance.report.all();
      if (instance.reporting && !unreported.isEmpty()) {
        send(instance, receiver -> receiver.table.onReport(instance.peer.name(), unreported));
      }
    }

    private void sendHeartbeat(Instance instance) {
      PeerStatus status = instance.table.ownStatus();
      long millis = Math.min(instance.announcedMillis, status.heartbeatMillis());
      if (now - instance.lastHeartbeat > Nanos.ofMillis(millis - 50)) {
        instance.lastHeartbeat = now;
        instance.announcedMillis = status.heartbeatMillis();
        send(instance, r -> r.table.onHeartbeat(instance.peer.name(), status, now));
      }
    }

    private void send(Instance sender, Consumer<Instance> delivery) {
      for (String name : sender.links) {
        if (canReach(sender.peer.name(), name)) {
          sender.messages++;
          instances.get(name).messages++;
          delivery.accept(instances.get(name));
        }
      }
    }

    private Set<String> hubs() {
      return instances.values().stream()
          .filter(instance -> instance.table.isHub(now))
          .map(instance -> instance.peer.name())
          .collect(Collectors.toCollection(TreeSet::new));
    }

    private Set<String> holders(String role) {
      Set<String> holders = new TreeSet<>();
      instances.values().forEach(instance -> holders.add(instance.table.roleHolder(role, now)));
      return holders;
    }

    /** Returns the messages in and out a second of each instance that is no hub, at the most. */
    private double messagesPerSecondOfLeaf() {
      instances.values().forEach(instance -> instance.messages = 0);
      run(20_000);
      Set<String> hubs = hubs();
      return instances.values().stream()
              .filter(instance -> !hubs.contains(instance.peer.name()))
              .mapToInt(instance -> instance.messages)
              .max()
              .orElse(0)
          / 20.0;
    }

    private void assertAgreement() {
      for (String role : List.of("lavanderia", "entregas", "cobros", "engine")) {
        Set<String> holders = holders(role);
        assertEquals(1, holders.size(), role + " " + holders);
        assertTrue(instances.keySet().containsAll(holders));
      }
      for (Instance instance : instances.values()) {
        assertEquals(instances.size(), instance.table.liveCount(now), instance.peer.name());
        assertEquals(
            instances.keySet(),
            new TreeSet<>(PeerTable.names(instance.table.forClients(HERE, now))));
      }
    }
  }

  private static Network network(int count) {
    Network network = new Network(HubTopology.create(), count);
    network.run(10_000);
    return network;
  }

  @Test
  void smallDeploymentIsFullMesh() {
    Network network = network(9);
    assertEquals(9, network.hubs().size());
    network.instances.values().forEach(instance -> assertEquals(8, instance.links.size()));
    network.assertAgreement();
  }

  /** Compares with the baseline, whose messages grow with the instances. */
  @Test
  void linksAndMessagesOfAnInstanceDoNotGrow() {
    Map<Integer, Double> messages = new HashMap<>();
    for (int count : new int[] {30, 95, 300}) {
      Network network = network(count);
      network.assertAgreement();
      Set<String> hubs = network.hubs();
      assertEquals(HubTopology.HUBS, hubs.size());
      for (Instance instance : network.instances.values()) {
        if (!hubs.contains(instance.peer.name())) {
          assertEquals(HubTopology.HUBS, instance.links.size());
        }
      }
      messages.put(count, network.messagesPerSecondOfLeaf());
    }
    assertTrue(messages.get(95) <= messages.get(30), messages + "");
    assertTrue(messages.get(300) <= messages.get(95), messages + "");
    Network mesh = new Network(FullMeshTopology.create(), 95);
    mesh.run(4_000);
    mesh.instances.values().forEach(instance -> instance.messages = 0);
    mesh.run(4_000);
    double baseline = mesh.instances.get("e1").messages / 4.0;
    assertTrue(messages.get(95) < baseline / 10, messages + ", baseline " + baseline);
  }

  @Test
  void hubsHaveTheLargestMachines() {
    for (String hub : network(95).hubs()) {
      assertEquals(0, Integer.parseInt(hub.substring(1)) % 6);
    }
  }

  @Test
  void instancesAgreeAgainAfterAllHubsFailed() {
    Network network = network(95);
    Set<String> first = network.hubs();
    network.kill(List.copyOf(first));
    network.run(8_000);
    network.assertAgreement();
    Set<String> second = network.hubs();
    second.retainAll(first);
    assertEquals(Set.of(), second);
  }

  @Test
  void instancesAgreeAgainAfterMostInstancesFailed() {
    Network network = network(95);
    List<String> killed = new ArrayList<>();
    for (int i = 1; i <= 95; i++) {
      if (i % 7 != 3) {
        killed.add("e" + i);
      }
    }
    network.kill(killed);
    network.run(30_000);
    network.assertAgreement();
  }

  /** Guards against roles that move twice in a rolling restart. */
  @Test
  void restartedInstanceTakesNoRoleBack() {
    Network network = network(95);
    String hub = network.holders("lavanderia").iterator().next();
    network.kill(List.of(hub));
    network.run(4_000);
    Set<String> successor = network.holders("lavanderia");
    assertFalse(successor.contains(hub));
    network.start(peer(Integer.parseInt(hub.substring(1)), 1_000));
    network.run(8_000);
    network.assertAgreement();
    assertEquals(successor, network.holders("lavanderia"));
  }

  @Test
  void instancesAgreeAgainAfterHubsWereCutOff() {
    Network network = network(95);
    final Set<String> hubs = network.hubs();
    network.cutOff.addAll(hubs);
    network.run(8_000);
    network.cutOff.clear();
    network.run(12_000);
    network.assertAgreement();
    assertEquals(hubs, network.hubs());
  }
}

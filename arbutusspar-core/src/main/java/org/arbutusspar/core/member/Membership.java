package org.arbutusspar.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;

/**
 * Gossip membership as seen by one instance, in the manner of SWIM.
 *
 * <p>An instance keeps links to a bounded number of peers, detects their failure, and forwards
 * state changes over these links. A changed record is sent a limited number of times. Besides that,
 * only a few records per round are sent again, to repair lost updates. The cost to an instance
 * therefore does not grow with the size of the deployment.
 *
 * <p>An instance that cannot be reached becomes suspect first. Gossip carries the suspicion to the
 * instance itself, which refutes it by raising its version. If it does not do so within {@link
 * #SUSPICION_TIMEOUT_NANOS}, it counts as dead. Not thread-safe.
 */
public final class Membership {

  /** Maximum number of known peers to which an instance opens links. */
  public static final int MAX_LINKED_PEERS = 8;

  /** Maximum number of records in one gossip message. */
  public static final int MAX_GOSSIP_RECORDS = 24;

  /** Time that a suspect instance has to refute the suspicion, in nanoseconds. */
  static final long SUSPICION_TIMEOUT_NANOS = Nanos.ofMillis(3_000);

  /** Time for which the record of a dead instance is retained, in nanoseconds. */
  static final long DEAD_RETENTION_NANOS = Nanos.ofMillis(600_000);

  /** Maximum number of other instances whose records are retained, dead ones included. */
  static final int MAX_MEMBERS = 4_096;

  /** Number of instances that follow in name order to which links are always kept. */
  private static final int RING_SUCCESSORS = 2;

  /** Number of records of other instances in one repair. */
  private static final int REPAIR_RECORDS = 2;

  /** Transmissions of a changed record for each binary digit of the number of instances. */
  private static final int TRANSMISSION_FACTOR = 3;

  /** Gossip rounds with one peer from one repair to the next. */
  private static final int ROUNDS_PER_REPAIR = 4;

  private final Map<InstanceId, Member> members = new TreeMap<>();
  private final Set<Endpoint> seeds = new LinkedHashSet<>();
  private final Map<Home, Integer> gossipRounds = new HashMap<>();
  private MemberRecord self;
  private int selfTransmissionsLeft = TRANSMISSION_FACTOR;
  private boolean linksOutdated = true;
  private List<Endpoint> linkTargets = List.of();

  private Membership(MemberRecord self) {
    this.self = self;
  }

  /**
   * Returns a membership without other instances.
   *
   * @param self record of this instance, not null
   * @return the membership
   */
  public static Membership create(MemberRecord self) {
    return new Membership(Objects.requireNonNull(self, "self"));
  }

  /** Returns the record of this instance. */
  public MemberRecord self() {
    return self;
  }

  /** Returns all instances that are not known to be dead, this one first. */
  public List<MemberRecord> serving() {
    List<MemberRecord> serving = new ArrayList<>();
    serving.add(self);
    for (Member member : members.values()) {
      if (member.record.isServing()) {
        serving.add(member.record);
      }
    }
    return serving;
  }

  /**
   * Replaces the seeds by the endpoints of the platform's list. The list lags behind, so it only
   * adds endpoints to connect to; an instance that is not on it does not become suspect.
   *
   * @param endpoints link endpoints of the listed instances, not null
   */
  public void onListed(Collection<Endpoint> endpoints) {
    seeds.clear();
    seeds.addAll(endpoints);
    seeds.remove(self.links());
    linksOutdated = true;
  }

  /**
   * Handles the record that a peer sent of itself on a new link.
   *
   * @param peer record of the peer, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onLinkUp(MemberRecord peer, long now) {
    merge(peer, now);
  }

  /**
   * Handles a failed attempt to open a link: the connection was not established or the peer did not
   * respond on it. A live or leaving instance with this endpoint becomes suspect.
   *
   * @param endpoint link endpoint of the peer, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onLinkFailed(Endpoint endpoint, long now) {
    for (Member member : members.values()) {
      MemberRecord record = member.record;
      boolean notSuspected =
          record.status() == MemberStatus.LIVE || record.status() == MemberStatus.LEAVING;
      if (record.links().equals(endpoint) && notSuspected) {
        merge(record.withStatus(MemberStatus.SUSPECT, record.version()), now);
        return;
      }
    }
  }

  /**
   * Merges the records that a peer sent.
   *
   * @param records the records, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onGossip(List<MemberRecord> records, long now) {
    for (MemberRecord record : records) {
      merge(record, now);
    }
  }

  /**
   * Returns the records to send to a peer in this round, and counts them as transmitted.
   *
   * @param peer incarnation of the peer, not null
   * @return at most {@link #MAX_GOSSIP_RECORDS} records: changed ones that have transmissions left,
   *     and in one of {@value #ROUNDS_PER_REPAIR} rounds a few more for repair
   */
  public List<MemberRecord> gossipFor(Home peer) {
    List<MemberRecord> records = new ArrayList<>();
    if (selfTransmissionsLeft > 0) {
      selfTransmissionsLeft--;
      records.add(self);
    }
    for (Member member : members.values()) {
      if (records.size() >= MAX_GOSSIP_RECORDS - REPAIR_RECORDS) {
        break;
      }
      if (member.transmissionsLeft > 0) {
        member.transmissionsLeft--;
        records.add(member.record);
      }
    }
    int round = gossipRounds.merge(peer, 1, Integer::sum);
    if (round % ROUNDS_PER_REPAIR == 1) {
      addRepairs(round / ROUNDS_PER_REPAIR, records);
    }
    return records;
  }

  /**
   * Adds the own record and a few others, so that the peer receives updates that it may have
   * missed. Successive repairs go through all records in turn.
   */
  private void addRepairs(int round, List<MemberRecord> records) {
    records.add(self);
    List<Member> all = List.copyOf(members.values());
    for (int i = 0; i < Math.min(REPAIR_RECORDS, all.size()); i++) {
      int index = Math.floorMod(round * REPAIR_RECORDS + i, all.size());
      records.add(all.get(index).record);
    }
  }

  /**
   * Applies the timeouts: suspect instances become dead, and old records of dead ones are removed.
   *
   * @param now current monotonic time, in nanoseconds
   */
  public void onTick(long now) {
    for (Member member : List.copyOf(members.values())) {
      long age = now - member.changedNanos;
      MemberStatus status = member.record.status();
      if (status == MemberStatus.SUSPECT && age >= SUSPICION_TIMEOUT_NANOS) {
        MemberRecord record = member.record;
        merge(record.withStatus(MemberStatus.DEAD, record.version()), now);
      } else if (status == MemberStatus.DEAD && age >= DEAD_RETENTION_NANOS) {
        members.remove(member.record.instance());
        linksOutdated = true;
      }
    }
  }

  /** Changes the status of this instance to leaving. */
  public void leave() {
    changeSelf(MemberStatus.LEAVING, self.version() + 1);
  }

  /** Changes the status of this instance to dead, as its last gossip before it stops. */
  public void stop() {
    changeSelf(MemberStatus.DEAD, self.version() + 1);
  }

  private void changeSelf(MemberStatus status, long version) {
    self = self.withStatus(status, version);
    selfTransmissionsLeft = transmissionsPerChange();
  }

  /**
   * Returns the endpoints to which links should be open: those of at most {@link #MAX_LINKED_PEERS}
   * known instances, and at most as many seeds at which no known instance listens.
   */
  public List<Endpoint> linkTargets() {
    if (linksOutdated) {
      linkTargets = chooseLinkTargets();
      linksOutdated = false;
      gossipRounds.keySet().removeIf(h -> !isServing(h));
    }
    return linkTargets;
  }

  private boolean isServing(Home home) {
    Member member = members.get(home.instance());
    return member != null && member.record.home().equals(home) && member.record.isServing();
  }

  private List<Endpoint> chooseLinkTargets() {
    List<MemberRecord> others =
        members.values().stream().map(m -> m.record).filter(MemberRecord::isServing).toList();
    Set<Endpoint> chosen = new LinkedHashSet<>();
    for (MemberRecord peer : choosePeers(others)) {
      chosen.add(peer.links());
    }
    addSeeds(others, chosen);
    return List.copyOf(chosen);
  }

  private List<MemberRecord> choosePeers(List<MemberRecord> others) {
    if (others.size() <= MAX_LINKED_PEERS) {
      return others;
    }
    Set<MemberRecord> chosen = new LinkedHashSet<>(successors(others));
    List<MemberRecord> remaining = others.stream().filter(m -> !chosen.contains(m)).toList();
    chosen.addAll(
        Rendezvous.top(
            remaining,
            m -> m.instance().value(),
            self.instance().value(),
            MAX_LINKED_PEERS - RING_SUCCESSORS));
    return List.copyOf(chosen);
  }

  /**
   * Returns the instances that follow this one in name order, from the last to the first. These
   * links form a ring through all instances, so that gossip reaches every instance.
   */
  private List<MemberRecord> successors(List<MemberRecord> others) {
    int start = 0;
    while (start < others.size() && others.get(start).instance().compareTo(self.instance()) < 0) {
      start++;
    }
    List<MemberRecord> next = new ArrayList<>();
    for (int i = 0; i < RING_SUCCESSORS; i++) {
      next.add(others.get((start + i) % others.size()));
    }
    return next;
  }

  /** Adds at most {@link #MAX_LINKED_PEERS} seeds at which no known instance listens. */
  private void addSeeds(List<MemberRecord> others, Set<Endpoint> chosen) {
    Set<Endpoint> known = new LinkedHashSet<>();
    others.forEach(m -> known.add(m.links()));
    List<Endpoint> unknown = seeds.stream().filter(e -> !known.contains(e)).toList();
    chosen.addAll(
        Rendezvous.top(unknown, Endpoint::toString, self.instance().value(), MAX_LINKED_PEERS));
  }

  private void merge(MemberRecord record, long now) {
    if (record.instance().equals(self.instance())) {
      refuteIfWrong(record);
      return;
    }
    Member known = members.get(record.instance());
    boolean accepted = known == null || record.supersedes(known.record);
    if (!accepted || known == null && cannotBeAdded(record)) {
      return;
    }
    boolean affectsLinks = known == null || changesLinks(known.record, record);
    members.put(record.instance(), new Member(record, now, transmissionsPerChange()));
    linksOutdated |= affectsLinks;
  }

  private boolean cannotBeAdded(MemberRecord record) {
    return !record.isServing() || members.size() >= MAX_MEMBERS;
  }

  private static boolean changesLinks(MemberRecord before, MemberRecord after) {
    return before.isServing() != after.isServing() || !before.links().equals(after.links());
  }

  /**
   * Raises the own version above that of a record which reports another status for this
   * incarnation.
   */
  private void refuteIfWrong(MemberRecord record) {
    boolean sameIncarnation = record.home().equals(self.home());
    if (sameIncarnation && record.version() >= self.version() && record.status() != self.status()) {
      changeSelf(self.status(), record.version() + 1);
    }
  }

  /**
   * Returns how often a changed record is sent. The number grows with the logarithm of the number
   * of instances, so that the change reaches every instance with high probability.
   */
  private int transmissionsPerChange() {
    int instances = members.size() + 2;
    int binaryDigits = Integer.SIZE - Integer.numberOfLeadingZeros(instances);
    return TRANSMISSION_FACTOR * binaryDigits;
  }

  /** Record of another instance and the state of its transmission. */
  private static final class Member {
    private final MemberRecord record;
    private final long changedNanos;
    private int transmissionsLeft;

    private Member(MemberRecord record, long changedNanos, int transmissionsLeft) {
      this.record = record;
      this.changedNanos = changedNanos;
      this.transmissionsLeft = transmissionsLeft;
    }
  }
}

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
 * Membership as one instance sees it. Instances keep links to a bounded number of fellows, watch
 * them, and spread what they learn along these links. Nothing is sent for an instance about which
 * nothing changes, except a slow repair of what was missed, so that the cost to a node does not
 * grow with the deployment.
 *
 * <p>An instance that cannot be reached is suspected first. The suspicion reaches it through
 * others, and it objects by raising its version; if it does not, it is held to be dead. Not safe
 * for use by several threads.
 */
public final class Membership {

  /** Most fellows to which an instance opens links. */
  public static final int MAX_LINKED_PEERS = 8;

  /** Most records in one message. */
  public static final int MAX_GOSSIP_RECORDS = 24;

  /** How long a suspected instance has to object. */
  static final long SUSPICION_TIMEOUT_NANOS = Nanos.ofMillis(3_000);

  /** How long a dead instance is remembered. */
  static final long DEAD_RETENTION_NANOS = Nanos.ofMillis(600_000);

  /** Most instances that are remembered, dead ones included. */
  static final int MAX_MEMBERS = 4_096;

  private static final int RING_SUCCESSORS = 2;
  private static final int REPAIR_RECORDS = 2;
  private static final int TRANSMISSION_FACTOR = 3;
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
   * Returns the membership of an instance that knows only itself.
   *
   * @param self its own record, not null
   * @return the membership
   */
  public static Membership create(MemberRecord self) {
    return new Membership(Objects.requireNonNull(self, "self"));
  }

  /** Returns the instance's own record. */
  public MemberRecord self() {
    return self;
  }

  /** Returns all instances that are not known to be dead, itself included. */
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
   * Takes over where the platform's list says that instances listen. The list lags, so it only adds
   * places to look; it condemns nobody.
   *
   * @param endpoints link endpoints of listed instances, not null
   */
  public void onListed(Collection<Endpoint> endpoints) {
    seeds.clear();
    seeds.addAll(endpoints);
    seeds.remove(self.links());
    linksOutdated = true;
  }

  /**
   * Learns that a fellow answered on a link.
   *
   * @param peer its own record, not null
   * @param now the time
   */
  public void onLinkUp(MemberRecord peer, long now) {
    merge(peer, now);
  }

  /**
   * Learns that a new connection to a fellow could not be made, or that nothing came back on it.
   *
   * @param endpoint where it should listen, not null
   * @param now the time
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
   * Learns what a fellow tells.
   *
   * @param records records of instances, not null
   * @param now the time
   */
  public void onGossip(List<MemberRecord> records, long now) {
    for (MemberRecord record : records) {
      merge(record, now);
    }
  }

  /**
   * Returns what to tell a fellow now.
   *
   * @param peer the fellow, not null
   * @return at most {@link #MAX_GOSSIP_RECORDS} records: what changed lately, and a few for repair
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

  /** Adds a few records, others at each turn, to repair what a fellow may have missed. */
  private void addRepairs(int round, List<MemberRecord> records) {
    records.add(self);
    List<Member> all = List.copyOf(members.values());
    for (int i = 0; i < Math.min(REPAIR_RECORDS, all.size()); i++) {
      int index = Math.floorMod(round * REPAIR_RECORDS + i, all.size());
      records.add(all.get(index).record);
    }
  }

  /**
   * Handles the passing of time.
   *
   * @param now the time
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

  /** Says that this instance is shutting down. */
  public void leave() {
    changeSelf(MemberStatus.LEAVING, self.version() + 1);
  }

  /** Says that this instance has stopped serving; the last thing it tells. */
  public void stop() {
    changeSelf(MemberStatus.DEAD, self.version() + 1);
  }

  private void changeSelf(MemberStatus status, long version) {
    self = self.withStatus(status, version);
    selfTransmissionsLeft = transmissionsPerChange();
  }

  /**
   * Returns the endpoints to which links should be open, at most {@link #MAX_LINKED_PEERS} and
   * seeds.
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
    List<MemberRecord> rest = others.stream().filter(m -> !chosen.contains(m)).toList();
    chosen.addAll(
        Rendezvous.top(
            rest,
            m -> m.instance().value(),
            self.instance().value(),
            MAX_LINKED_PEERS - RING_SUCCESSORS));
    return List.copyOf(chosen);
  }

  /** Returns the next instances in name order, which joins all instances into one ring. */
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

  /** Adds listed places where no known instance listens, a few at a time. */
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

  /** Raises the own version above what others say, if that is wrong. */
  private void refuteIfWrong(MemberRecord record) {
    boolean same = record.home().equals(self.home());
    if (same && record.version() >= self.version() && record.status() != self.status()) {
      changeSelf(self.status(), record.version() + 1);
    }
  }

  /** Returns how often a change is told: enough to reach every instance with high probability. */
  private int transmissionsPerChange() {
    int size = members.size() + 2;
    int log = Integer.SIZE - Integer.numberOfLeadingZeros(size);
    return TRANSMISSION_FACTOR * log;
  }

  /** What is known of one other instance. */
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

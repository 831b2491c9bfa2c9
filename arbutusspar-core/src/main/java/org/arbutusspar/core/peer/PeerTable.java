package org.arbutusspar.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.stage.QueueWait;

/**
 * The known peers of this instance, with the status and the time of their last heartbeats.
 *
 * <p>A peer is live while its link is up and the last bytes from it are younger than the liveness
 * timeout, a multiple of the interval of heartbeats that the peer announces. This instance has
 * links to the hubs that its {@link Topology} selects, and to the instances that selected this one.
 * What it knows of the other ones is what hubs report. Not thread-safe.
 */
public final class PeerTable {

  /** Maximum number of peers; further ones are ignored. */
  public static final int MAX_PEERS = 1_024;

  /**
   * Age of the last heartbeat from which a peer is not live, as a multiple of the interval of its
   * heartbeats.
   */
  private static final double LIVENESS_TIMEOUT_INTERVALS = 2.5;

  /** Time after a failed dial until the peer is dialed again, in nanoseconds. */
  private static final long REDIAL_DELAY_NANOS = Nanos.ofMillis(3_000);

  /**
   * Time for which the reports of a hub are used after its link went down, in nanoseconds. Another
   * hub reports before this time ends.
   */
  private static final long FORMER_HUB_REPORT_NANOS = Nanos.ofMillis(3_000);

  /**
   * Maximum age of a selection of hubs, in nanoseconds. Heartbeats time out without an event, and
   * the selection is needed several times for each request.
   */
  private static final long SELECTION_MAX_AGE_NANOS = Nanos.ofMillis(20);

  /**
   * Age up to which a reported queue wait is used unchanged, in nanoseconds. Heartbeats are sent
   * every 0.4 s and may arrive slightly later.
   */
  private static final long HEARTBEAT_FRESH_NANOS = Nanos.ofMillis(500);

  /**
   * Time for which the queue wait that the former holder of a role reported is used, in
   * nanoseconds. The new holder reports its own before this time ends.
   */
  private static final long FORMER_HOLDER_WAIT_NANOS = Nanos.ofMillis(3_000);

  private final Peer self;
  private final Topology topology;
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, ReportedWait> lastReportedWaits = new HashMap<>();
  private PeerStatus ownStatus = PeerStatus.UNKNOWN;

  /** The last selection of hubs, or null if it is outdated. */
  private List<Peer> selectedHubs;

  private long selectedAt;

  private PeerTable(Peer self, Topology topology) {
    this.self = self;
    this.topology = topology;
  }

  /**
   * Returns a table without peers.
   *
   * @param self this instance, not null
   * @param topology selects the hubs, not null
   * @return the table
   */
  public static PeerTable create(Peer self, Topology topology) {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(topology, "topology");
    return new PeerTable(self, topology);
  }

  /** Returns this instance. */
  public Peer self() {
    return self;
  }

  /**
   * Sets the status of this instance.
   *
   * @param status status to send to the peers, not null
   */
  public void ownStatus(PeerStatus status) {
    ownStatus = Objects.requireNonNull(status, "status");
    selectedHubs = null;
  }

  /** Returns the status of this instance. */
  public PeerStatus ownStatus() {
    return ownStatus;
  }

  /**
   * Adds a peer, or replaces one of an earlier incarnation. The peer is not live until its first
   * heartbeat.
   *
   * @param peer the peer, not null
   * @return true if the table has changed; false if the peer is this instance, is not of a later
   *     incarnation than the known one, or exceeds {@link #MAX_PEERS}
   */
  public boolean discover(Peer peer) {
    Entry entry = entries.get(peer.name());
    boolean known = entry != null && entry.peer.incarnation() >= peer.incarnation();
    if (peer.name().equals(self.name()) || known) {
      return false;
    }
    if (entry == null && entries.size() >= MAX_PEERS) {
      return false;
    }
    entries.put(peer.name(), new Entry(peer));
    selectedHubs = null;
    return true;
  }

  /**
   * Handles a heartbeat of a peer. It also marks the link to the peer as up. Heartbeats of unknown
   * peers are ignored.
   *
   * @param name name of the peer, not null
   * @param status status that the heartbeat carries, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onHeartbeat(String name, PeerStatus status, long now) {
    Entry entry = entries.get(name);
    if (entry != null) {
      if (!isLive(entry, now) || entry.status.leaving() != status.leaving()) {
        selectedHubs = null;
      }
      entry.status = status;
      recordWaits(status, now);
      entry.lastHeartbeatNanos = now;
      entry.lastReceivedNanos = now;
      entry.connected = true;
      entry.failed = false;
    }
  }

  private void recordWaits(PeerStatus status, long now) {
    for (String role : status.roles()) {
      if (status.waits().containsKey(role)) {
        lastReportedWaits.put(role, new ReportedWait(status.waits().get(role), now));
      }
    }
  }

  /**
   * Records when bytes of a peer were last received. A heartbeat may wait behind a large message,
   * so a peer also counts as live while any bytes arrive.
   *
   * @param name name of the peer, not null
   * @param receivedNanos monotonic time of the last bytes, in nanoseconds
   */
  public void onReceived(String name, long receivedNanos) {
    Entry entry = entries.get(name);
    if (entry != null) {
      entry.lastReceivedNanos = receivedNanos;
    }
  }

  /**
   * Handles the end of the link to a peer. The peer is not live until its next heartbeat.
   *
   * @param name name of the peer, not null
   * @param failed whether the link broke; the peer does then not count as a hub until it is
   *     reconnected or reported live again
   * @param now current monotonic time, in nanoseconds
   */
  public void onDown(String name, boolean failed, long now) {
    Entry entry = entries.get(name);
    if (entry != null) {
      selectedHubs = null;
      entry.connected = false;
      entry.failed = failed;
      entry.redialAt = now;
    }
    for (Entry other : entries.values()) {
      if (other.reporters.remove(name) && other.reporters.isEmpty()) {
        other.hasFormerReport = true;
        other.formerReportUntil = now + FORMER_HUB_REPORT_NANOS;
      }
    }
  }

  /**
   * Handles a failed attempt to connect to a peer. Until it is reported live again, the peer does
   * not count as a hub, and it is dialed again only after {@link #REDIAL_DELAY_NANOS}.
   *
   * @param name name of the peer, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onUnreachable(String name, long now) {
    Entry entry = entries.get(name);
    if (entry != null) {
      selectedHubs = null;
      entry.failed = true;
      entry.redialAt = now + REDIAL_DELAY_NANOS;
    }
  }

  /**
   * Handles a hub's report. States of unknown instances are ignored.
   *
   * @param hub name of the hub, not null
   * @param states states of other instances, not null
   */
  public void onReport(String hub, List<PeerState> states) {
    selectedHubs = null;
    for (PeerState state : states) {
      Entry entry = entries.get(state.name());
      if (entry == null) {
        continue;
      }
      if (state.live()) {
        entry.reporters.add(hub);
        entry.reported = state;
        entry.failed = false;
      } else {
        entry.reporters.remove(hub);
      }
      entry.hasFormerReport = false;
    }
  }

  /**
   * Returns what to report to other instances: the states of this instance and of its live peers.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the states
   */
  public List<PeerState> states(long now) {
    List<PeerState> states = new ArrayList<>();
    states.add(new PeerState(self.name(), true, ownStatus.ready(), ownStatus.leaving()));
    for (Entry entry : entries.values()) {
      if (isLive(entry, now)) {
        states.add(
            new PeerState(entry.peer.name(), true, entry.status.ready(), entry.status.leaving()));
      }
    }
    return states;
  }

  /** Returns all known peers, live or not. */
  public List<Peer> all() {
    return entries.values().stream().map(entry -> entry.peer).toList();
  }

  /**
   * Returns the live peers.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the peers, in name order
   */
  public List<Peer> live(long now) {
    return entries.values().stream().filter(e -> isLive(e, now)).map(e -> e.peer).toList();
  }

  /**
   * Returns whether an instance is live.
   *
   * @param name name of the instance, not null
   * @param now current monotonic time, in nanoseconds
   * @return true if it is a live peer or this instance
   */
  public boolean isLive(String name, long now) {
    Entry entry = entries.get(name);
    return name.equals(self.name()) || entry != null && isLive(entry, now);
  }

  private boolean isLive(Entry entry, long now) {
    double timeoutMillis = LIVENESS_TIMEOUT_INTERVALS * entry.status.heartbeatMillis();
    long silentNanos = Math.min(now - entry.lastHeartbeatNanos, now - entry.lastReceivedNanos);
    return entry.connected && Nanos.toMillis(silentNanos) < timeoutMillis;
  }

  /** Returns whether hubs report an instance as live. */
  private boolean isReported(Entry entry, long now) {
    return !entry.reporters.isEmpty() || entry.hasFormerReport && now - entry.formerReportUntil < 0;
  }

  private boolean isLiveOrReported(Entry entry, long now) {
    return isLive(entry, now) || isReported(entry, now);
  }

  /**
   * Returns the incarnation of a peer.
   *
   * @param name name of the peer, not null
   * @return number of the incarnation, or empty if the peer is not known
   */
  public Optional<Long> incarnation(String name) {
    return Optional.ofNullable(entries.get(name)).map(entry -> entry.peer.incarnation());
  }

  /**
   * Returns the number of live instances.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the number of peers that are live or reported live, plus one for this instance
   */
  public int liveCount(long now) {
    return 1 + (int) entries.values().stream().filter(e -> isLiveOrReported(e, now)).count();
  }

  /**
   * Returns the instances that should be hubs, as far as this instance knows: those that are live,
   * reported live, or have not been dialed, without those that are leaving.
   */
  private List<Peer> selectHubs(long now) {
    if (selectedHubs == null
        || now - selectedAt < 0
        || now - selectedAt > SELECTION_MAX_AGE_NANOS) {
      selectedHubs = topology.hubs(InstanceRanking.order(hubCandidates(now)));
      selectedAt = now;
    }
    return selectedHubs;
  }

  private List<Peer> hubCandidates(long now) {
    List<Peer> candidates = new ArrayList<>();
    if (!ownStatus.leaving()) {
      candidates.add(self);
    }
    for (Entry entry : entries.values()) {
      boolean live = isLive(entry, now);
      boolean leaving = live ? entry.status.leaving() : entry.reported.leaving();
      if (!leaving && (live || !entry.failed)) {
        candidates.add(entry.peer);
      }
    }
    return candidates;
  }

  /**
   * Returns the hubs.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the selected hubs that are live, and this instance if it is one, the most suitable
   *     first
   */
  public List<Peer> hubs(long now) {
    return selectHubs(now).stream().filter(hub -> isLive(hub.name(), now)).toList();
  }

  /**
   * Returns the time between heartbeats of this instance.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the interval in milliseconds
   */
  public long heartbeatMillis(long now) {
    return topology.heartbeatMillis(liveCount(now), isHub(now));
  }

  /**
   * Returns the peers to which this instance should have a link: the hubs, and those that would be
   * hubs if they could be reached and have not been dialed for a time.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the peers
   */
  public List<Peer> linkTargets(long now) {
    List<Peer> selected = selectHubs(now);
    List<Peer> targets = new ArrayList<>(selected);
    targets.remove(self);
    for (Entry entry : entries.values()) {
      if (entry.failed && !isLive(entry, now) && now - entry.redialAt >= 0) {
        List<Peer> withEntry = new ArrayList<>(selected);
        withEntry.add(entry.peer);
        if (InstanceRanking.order(withEntry).indexOf(entry.peer) < selected.size()) {
          targets.add(entry.peer);
        }
      }
    }
    return targets;
  }

  /**
   * Returns whether this instance is a hub.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true if the topology selects it
   */
  public boolean isHub(long now) {
    return selectHubs(now).contains(self);
  }

  /**
   * Returns the instance that holds a role, such as batching the pieces of a service.
   *
   * <p>Only hubs are considered. One that advertises the role is preferred, so that an instance
   * which restarts does not take the role from its holder. If several advertise it, or none does,
   * rendezvous hashing selects one. Instances that know the same live instances select the same
   * holder. While their views differ, two instances may hold the role; this costs duplicate work
   * but does no harm.
   *
   * @param role name of the role, not null
   * @param now current monotonic time, in nanoseconds
   * @return name of the holder; this instance if no hub is live
   */
  public String roleHolder(String role, long now) {
    List<String> candidates = names(hubs(now));
    List<String> holders =
        candidates.stream().filter(name -> status(name).roles().contains(role)).toList();
    List<String> names = holders.isEmpty() ? candidates : holders;
    List<String> top = Rendezvous.top(names, name -> name, role, 1);
    return top.isEmpty() ? self.name() : top.get(0);
  }

  /**
   * Returns the expected queue wait of a new piece at the batcher of a service.
   *
   * <p>While no heartbeat of the batcher arrives, its queue may grow unnoticed, so the age of the
   * last reported wait beyond {@link #HEARTBEAT_FRESH_NANOS} is added to it. Until a new batcher
   * has reported a wait, the last one of the former batcher plus its age is used, for at most
   * {@link #FORMER_HOLDER_WAIT_NANOS}.
   *
   * @param service name of the service, not null
   * @param now current monotonic time, in nanoseconds
   * @return the wait, or {@link QueueWait#NONE} if no usable value is known
   */
  public QueueWait queueWait(String service, long now) {
    Entry entry = entries.get(roleHolder(service, now));
    PeerStatus status = entry == null ? ownStatus : entry.status;
    if (status.waits().containsKey(service)) {
      long overdueNanos =
          entry == null ? 0 : Math.max(0, now - entry.lastHeartbeatNanos - HEARTBEAT_FRESH_NANOS);
      return status.waits().get(service).plus((int) Nanos.toMillis(overdueNanos));
    }
    ReportedWait lastWait = lastReportedWaits.get(service);
    boolean valid = lastWait != null && now - lastWait.reportedNanos() < FORMER_HOLDER_WAIT_NANOS;
    return valid
        ? lastWait.queueWait().plus((int) Nanos.toMillis(now - lastWait.reportedNanos()))
        : QueueWait.NONE;
  }

  /**
   * Returns the last status of an instance.
   *
   * @param name name of the instance, not null
   * @return the status; {@link PeerStatus#UNKNOWN} if the instance is not known
   */
  public PeerStatus status(String name) {
    Entry entry = entries.get(name);
    return name.equals(self.name()) ? ownStatus : entry == null ? PeerStatus.UNKNOWN : entry.status;
  }

  /**
   * Returns the time since the store last answered a live peer, as far as heartbeats tell. The
   * interval of the peer's heartbeats does not count, since a later answer is not reported within
   * it, but no more than the interval of a hub: the longer one of other instances would delay the
   * detection of a lost peer beyond the time in which a change must be in force.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the least time over all live peers in nanoseconds, negative if a heartbeat is not due;
   *     {@link Long#MAX_VALUE} if there is no live peer
   */
  public long storeContactAge(long now) {
    long hubMillis = topology.heartbeatMillis(liveCount(now), true);
    return entries.values().stream()
        .filter(entry -> isLive(entry, now))
        .mapToLong(entry -> storeContactAge(entry, hubMillis, now))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static long storeContactAge(Entry entry, long hubMillis, long now) {
    long intervalMillis = Math.min(hubMillis, entry.status.heartbeatMillis());
    return now
        - entry.lastHeartbeatNanos
        + Nanos.ofMillis(entry.status.store().contactAgeMillis() - intervalMillis);
  }

  /**
   * Returns the live peers whose copy of a table has changes that this instance lacks.
   *
   * @param table the table, not null
   * @param offset offset up to which this instance has the table
   * @param now current monotonic time, in nanoseconds
   * @return those of these peers that have the latest change
   */
  public List<Peer> aheadOf(TableName table, long offset, long now) {
    List<Entry> ahead =
        entries.values().stream()
            .filter(entry -> isLive(entry, now) && changeOffset(entry, table) > offset)
            .toList();
    long latest = ahead.stream().mapToLong(entry -> changeOffset(entry, table)).max().orElse(0);
    return ahead.stream()
        .filter(entry -> changeOffset(entry, table) == latest)
        .map(entry -> entry.peer)
        .toList();
  }

  private static long changeOffset(Entry entry, TableName table) {
    return entry.status.store().version(table).changeOffset();
  }

  /**
   * Returns the instances to which clients may connect, those in the preferred data centre first.
   * The others follow in an order that depends on this instance, so that all of them are named
   * equally often if only the first ones are used.
   *
   * @param preferred data centre of the client, not null
   * @param now current monotonic time, in nanoseconds
   * @return this instance and the peers that are live or reported live, without those that are
   *     leaving or not ready
   */
  public List<Peer> forClients(DataCentre preferred, long now) {
    List<Peer> accepting = new ArrayList<>();
    if (ownStatus.ready() && !ownStatus.leaving()) {
      accepting.add(self);
    }
    entries.values().stream()
        .filter(entry -> accepts(entry, now))
        .forEach(entry -> accepting.add(entry.peer));
    accepting.sort(
        Comparator.comparing((Peer peer) -> !peer.dataCentre().equals(preferred))
            .thenComparingLong(peer -> Rendezvous.hash(self.name() + "/" + peer.name())));
    return accepting;
  }

  private boolean accepts(Entry entry, long now) {
    if (isLive(entry, now)) {
      return entry.status.ready() && !entry.status.leaving();
    }
    return isReported(entry, now) && entry.reported.ready() && !entry.reported.leaving();
  }

  /**
   * Returns the names of instances.
   *
   * @param peers the instances, not null
   * @return their names, in the same order
   */
  public static List<String> names(Collection<Peer> peers) {
    return peers.stream().map(Peer::name).toList();
  }

  /** Queue wait that the holder of a role reported, and the time of its heartbeat. */
  private record ReportedWait(QueueWait queueWait, long reportedNanos) {}

  /** A peer and the state of its link. */
  private static final class Entry {
    private final Peer peer;
    private PeerStatus status = PeerStatus.UNKNOWN;
    private long lastHeartbeatNanos;

    /** Monotonic time at which any bytes were last received, in nanoseconds. */
    private long lastReceivedNanos;

    private boolean connected;

    /** Whether the last attempt to connect failed or the link went down. */
    private boolean failed;

    /** Earliest time of the next dial after a failure, in nanoseconds. */
    private long redialAt;

    /** Names of the hubs that report the peer as live. */
    private final Set<String> reporters = new HashSet<>();

    private PeerState reported;

    /** Whether the last report came from a hub whose link went down. */
    private boolean hasFormerReport;

    /** Time until which that report is used, in nanoseconds. */
    private long formerReportUntil;

    private Entry(Peer peer) {
      this.peer = peer;
      this.reported = new PeerState(peer.name(), false, false, false);
    }
  }
}

package org.arbutusspar.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.stage.QueueWait;

/**
 * The known peers of this instance, with the status and the time of their last heartbeats. A peer
 * is live while its link is up and its last heartbeat is younger than the liveness timeout. Not
 * thread-safe.
 */
public final class PeerTable {

  /** Maximum number of peers; further ones are ignored. */
  public static final int MAX_PEERS = 1_024;

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
  private final long livenessTimeoutNanos;
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, ReportedWait> lastReportedWaits = new HashMap<>();
  private PeerStatus ownStatus = PeerStatus.UNKNOWN;

  private PeerTable(Peer self, long livenessTimeoutNanos) {
    this.self = self;
    this.livenessTimeoutNanos = livenessTimeoutNanos;
  }

  /**
   * Returns a table without peers.
   *
   * @param self this instance, not null
   * @param livenessTimeoutMillis age of the last heartbeat from which a peer is not live, in
   *     milliseconds, positive
   * @return the table
   */
  public static PeerTable create(Peer self, long livenessTimeoutMillis) {
    Objects.requireNonNull(self, "self");
    Validate.isTrue(livenessTimeoutMillis > 0, "livenessTimeoutMillis must be positive");
    return new PeerTable(self, Nanos.ofMillis(livenessTimeoutMillis));
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
      entry.status = status;
      recordWaits(status, now);
      entry.lastHeartbeatNanos = now;
      entry.connected = true;
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
   * Handles the loss of the link to a peer. The peer is not live until its next heartbeat.
   *
   * @param name name of the peer, not null
   */
  public void onDown(String name) {
    Entry entry = entries.get(name);
    if (entry != null) {
      entry.connected = false;
    }
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
    return entry.connected && now - entry.lastHeartbeatNanos < livenessTimeoutNanos;
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
   * @return the number of live peers plus one for this instance
   */
  public int liveCount(long now) {
    return 1 + live(now).size();
  }

  /**
   * Returns the instance that holds a role, such as batching the pieces of a service.
   *
   * <p>Instances that are leaving or not live are not considered. An instance that advertises the
   * role is preferred, so that an instance which restarts does not take the role from its holder.
   * If several advertise it, or none does, rendezvous hashing selects one. Instances that know the
   * same live instances select the same holder. While their views differ, two instances may hold
   * the role; this costs duplicate work but does no harm.
   *
   * @param role name of the role, not null
   * @param now current monotonic time, in nanoseconds
   * @return name of the holder; this instance if no other can be considered
   */
  public String roleHolder(String role, long now) {
    List<String> candidates = new ArrayList<>();
    List<String> holders = new ArrayList<>();
    if (!ownStatus.leaving()) {
      candidates.add(self.name());
      addIfHolder(self.name(), ownStatus, role, holders);
    }
    for (Entry entry : entries.values()) {
      if (isLive(entry, now) && !entry.status.leaving()) {
        candidates.add(entry.peer.name());
        addIfHolder(entry.peer.name(), entry.status, role, holders);
      }
    }
    List<String> names = holders.isEmpty() ? candidates : holders;
    List<String> top = Rendezvous.top(names, name -> name, role, 1);
    return top.isEmpty() ? self.name() : top.get(0);
  }

  private static void addIfHolder(
      String name, PeerStatus status, String role, List<String> holders) {
    if (status.roles().contains(role)) {
      holders.add(name);
    }
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
   * Returns the instances that can take on work for the whole deployment, the most suitable first:
   * this instance and the live peers, without those that are leaving.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the instances in the order of their capacity; equal ones in an order on which all
   *     instances agree
   */
  public List<Peer> ranked(long now) {
    List<Peer> candidates = new ArrayList<>();
    if (!ownStatus.leaving()) {
      candidates.add(self);
    }
    entries.values().stream()
        .filter(entry -> isLive(entry, now) && !entry.status.leaving())
        .forEach(entry -> candidates.add(entry.peer));
    return InstanceRanking.order(candidates);
  }

  /**
   * Returns the time since the store last answered a live peer, as far as heartbeats tell.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the least age over all live peers in nanoseconds; {@link Long#MAX_VALUE} if there is
   *     none
   */
  public long storeContactAge(long now) {
    return entries.values().stream()
        .filter(entry -> isLive(entry, now))
        .mapToLong(
            entry ->
                now
                    - entry.lastHeartbeatNanos
                    + Nanos.ofMillis(entry.status.store().contactAgeMillis()))
        .min()
        .orElse(Long.MAX_VALUE);
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
   *
   * @param preferred data centre of the client, not null
   * @param now current monotonic time, in nanoseconds
   * @return this instance and the live peers, without those that are leaving or not ready
   */
  public List<Peer> forClients(DataCentre preferred, long now) {
    List<Peer> accepting = new ArrayList<>();
    if (ownStatus.ready() && !ownStatus.leaving()) {
      accepting.add(self);
    }
    entries.values().stream()
        .filter(entry -> isLive(entry, now) && entry.status.ready() && !entry.status.leaving())
        .forEach(entry -> accepting.add(entry.peer));
    accepting.sort(Comparator.comparing(peer -> !peer.dataCentre().equals(preferred)));
    return accepting;
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
    private boolean connected;

    private Entry(Peer peer) {
      this.peer = peer;
    }
  }
}

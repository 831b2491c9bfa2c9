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

/** The other instances: who they are, and who of them has been heard of lately. */
public final class PeerTable {

  /** Most instances that are kept. */
  public static final int MAX_PEERS = 1_024;

  /** A figure of this age is up to date: beats come every 0.4 s, at times a little later. */
  private static final long HEARTBEAT_FRESH_NANOS = Nanos.ofMillis(500);

  /** The figure of a former holder counts for this long; a new one tells its own before. */
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
   * Returns a table without fellows.
   *
   * @param self this instance, not null
   * @param livenessTimeoutMillis an instance that has been silent for longer does not count as live
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

  /** Sets what this instance tells the others. */
  public void ownStatus(PeerStatus status) {
    ownStatus = Objects.requireNonNull(status, "beat");
  }

  /** Returns what this instance tells the others. */
  public PeerStatus ownStatus() {
    return ownStatus;
  }

  /**
   * Learns of an instance.
   *
   * @param peer the instance, not null
   * @return whether this was news
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
   * Takes a message of an instance as a sign of life.
   *
   * @param name name of the instance, not null
   * @param status what it says, not null
   * @param now current time
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

  /** Takes the loss of the link to an instance. */
  public void onDown(String name) {
    Entry entry = entries.get(name);
    if (entry != null) {
      entry.connected = false;
    }
  }

  /** Returns all known instances but this one. */
  public List<Peer> all() {
    return entries.values().stream().map(entry -> entry.peer).toList();
  }

  /** Returns the instances that have been heard of lately, this one not included. */
  public List<Peer> live(long now) {
    return entries.values().stream().filter(e -> isLive(e, now)).map(e -> e.peer).toList();
  }

  /** Returns whether an instance has been heard of lately. */
  public boolean isLive(String name, long now) {
    Entry entry = entries.get(name);
    return name.equals(self.name()) || entry != null && isLive(entry, now);
  }

  private boolean isLive(Entry entry, long now) {
    return entry.connected && now - entry.lastHeartbeatNanos < livenessTimeoutNanos;
  }

  /** Returns the incarnation of an instance, or empty if it is not known. */
  public Optional<Long> incarnation(String name) {
    return Optional.ofNullable(entries.get(name)).map(entry -> entry.peer.incarnation());
  }

  /** Returns the number of live instances, this one included. */
  public int liveCount(long now) {
    return 1 + live(now).size();
  }

  /**
   * Returns the instance that has a role, such as to gather the pieces of a service. It is one that
   * says that it has it, if there is one, so that an instance which comes back takes nothing away.
   * Instances that know the same live ones agree; until they do, two may have the role, which costs
   * work but breaks nothing.
   *
   * @param role name of the role, not null
   * @param now current time
   * @return name of the instance
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
   * Returns how long a new piece of a service waits where such pieces are gathered. While that
   * instance is silent, pieces gather unseen, so its last figure grows with its age; the same holds
   * for the last figure of its predecessor until it tells one.
   *
   * @param service name of the service, not null
   * @param now current time
   * @return the wait as last told, none if it has not been told
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
   * Returns a live instance whose configuration or list of replicas is ahead of this one's.
   *
   * @param ofConfiguration whether the configuration is asked for, else the list of replicas
   * @param now current time
   * @return the instance that is farthest ahead, or empty if none is
   */
  public Optional<Peer> mostAdvanced(boolean ofConfiguration, long now) {
    return entries.values().stream()
        .filter(entry -> isLive(entry, now))
        .filter(entry -> offset(entry.status, ofConfiguration) > offset(ownStatus, ofConfiguration))
        .max(Comparator.comparingLong(entry -> offset(entry.status, ofConfiguration)))
        .map(entry -> entry.peer);
  }

  private static long offset(PeerStatus status, boolean ofConfiguration) {
    return ofConfiguration ? status.configurationOffset() : status.replicasOffset();
  }

  /**
   * Returns the instances that clients may connect to, those of the client's data centre first.
   *
   * @param preferred data centre of the client, not null
   * @param now current time
   * @return this instance and the others, as far as they take requests
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

  /** Returns the names of the given instances. */
  public static List<String> names(Collection<Peer> peers) {
    return peers.stream().map(Peer::name).toList();
  }

  private record ReportedWait(QueueWait queueWait, long reportedNanos) {}

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

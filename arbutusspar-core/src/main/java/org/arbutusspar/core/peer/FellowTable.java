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
public final class FellowTable {

  /** Most instances that are kept. */
  public static final int MAX_FELLOWS = 1_024;

  /** A figure of this age is up to date: beats come every 0.4 s, at times a little later. */
  private static final long FRESH_NANOS = Nanos.ofMillis(500);

  /** The figure of a former holder counts for this long; a new one tells its own before. */
  private static final long RECENT_NANOS = Nanos.ofMillis(3_000);

  private final Fellow self;
  private final long silenceNanos;
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, Told> lastTold = new HashMap<>();
  private Beat own = Beat.UNKNOWN;

  private FellowTable(Fellow self, long silenceNanos) {
    this.self = self;
    this.silenceNanos = silenceNanos;
  }

  /**
   * Returns a table without fellows.
   *
   * @param self this instance, not null
   * @param silenceMillis an instance that has been silent for longer does not count as live
   * @return the table
   */
  public static FellowTable create(Fellow self, long silenceMillis) {
    Objects.requireNonNull(self, "self");
    Validate.isTrue(silenceMillis > 0, "silenceMillis must be positive");
    return new FellowTable(self, Nanos.ofMillis(silenceMillis));
  }

  /** Returns this instance. */
  public Fellow self() {
    return self;
  }

  /** Sets what this instance tells the others. */
  public void own(Beat beat) {
    own = Objects.requireNonNull(beat, "beat");
  }

  /** Returns what this instance tells the others. */
  public Beat own() {
    return own;
  }

  /**
   * Learns of an instance.
   *
   * @param fellow the instance, not null
   * @return whether this was news
   */
  public boolean learn(Fellow fellow) {
    Entry entry = entries.get(fellow.name());
    boolean known = entry != null && entry.fellow.incarnation() >= fellow.incarnation();
    if (fellow.name().equals(self.name()) || known) {
      return false;
    }
    if (entry == null && entries.size() >= MAX_FELLOWS) {
      return false;
    }
    entries.put(fellow.name(), new Entry(fellow));
    return true;
  }

  /**
   * Takes a message of an instance as a sign of life.
   *
   * @param name name of the instance, not null
   * @param beat what it says, not null
   * @param now current time
   */
  public void onBeat(String name, Beat beat, long now) {
    Entry entry = entries.get(name);
    if (entry != null) {
      entry.beat = beat;
      noteWaits(beat, now);
      entry.heardAt = now;
      entry.connected = true;
    }
  }

  private void noteWaits(Beat beat, long now) {
    for (String role : beat.roles()) {
      if (beat.waits().containsKey(role)) {
        lastTold.put(role, new Told(beat.waits().get(role), now));
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
  public List<Fellow> all() {
    return entries.values().stream().map(entry -> entry.fellow).toList();
  }

  /** Returns the instances that have been heard of lately, this one not included. */
  public List<Fellow> live(long now) {
    return entries.values().stream().filter(e -> isLive(e, now)).map(e -> e.fellow).toList();
  }

  /** Returns whether an instance has been heard of lately. */
  public boolean isLive(String name, long now) {
    Entry entry = entries.get(name);
    return name.equals(self.name()) || entry != null && isLive(entry, now);
  }

  private boolean isLive(Entry entry, long now) {
    return entry.connected && now - entry.heardAt < silenceNanos;
  }

  /** Returns the incarnation of an instance, or empty if it is not known. */
  public Optional<Long> incarnation(String name) {
    return Optional.ofNullable(entries.get(name)).map(entry -> entry.fellow.incarnation());
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
  public String holder(String role, long now) {
    List<String> able = new ArrayList<>();
    List<String> holding = new ArrayList<>();
    if (!own.leaving()) {
      able.add(self.name());
      addIfHolding(self.name(), own, role, holding);
    }
    for (Entry entry : entries.values()) {
      if (isLive(entry, now) && !entry.beat.leaving()) {
        able.add(entry.fellow.name());
        addIfHolding(entry.fellow.name(), entry.beat, role, holding);
      }
    }
    List<String> names = holding.isEmpty() ? able : holding;
    List<String> top = Rendezvous.top(names, name -> name, role, 1);
    return top.isEmpty() ? self.name() : top.get(0);
  }

  private static void addIfHolding(String name, Beat beat, String role, List<String> holding) {
    if (beat.roles().contains(role)) {
      holding.add(name);
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
    Entry entry = entries.get(holder(service, now));
    Beat beat = entry == null ? own : entry.beat;
    if (beat.waits().containsKey(service)) {
      long overdue = entry == null ? 0 : Math.max(0, now - entry.heardAt - FRESH_NANOS);
      return beat.waits().get(service).plus((int) Nanos.toMillis(overdue));
    }
    Told last = lastTold.get(service);
    boolean recent = last != null && now - last.at() < RECENT_NANOS;
    return recent ? last.queueWait().plus((int) Nanos.toMillis(now - last.at())) : QueueWait.NONE;
  }

  /**
   * Returns a live instance whose configuration or list of replicas is ahead of this one's.
   *
   * @param configuration whether the configuration is asked for, else the list of replicas
   * @param now current time
   * @return the instance that is farthest ahead, or empty if none is
   */
  public Optional<Fellow> ahead(boolean configuration, long now) {
    return entries.values().stream()
        .filter(entry -> isLive(entry, now))
        .filter(entry -> offset(entry.beat, configuration) > offset(own, configuration))
        .max(Comparator.comparingLong(entry -> offset(entry.beat, configuration)))
        .map(entry -> entry.fellow);
  }

  private static long offset(Beat beat, boolean configuration) {
    return configuration ? beat.configurationOffset() : beat.replicasOffset();
  }

  /**
   * Returns the instances that clients may connect to, those of the client's data centre first.
   *
   * @param near data centre of the client, not null
   * @param now current time
   * @return this instance and the others, as far as they take requests
   */
  public List<Fellow> forClients(DataCentre near, long now) {
    List<Fellow> ready = new ArrayList<>();
    if (own.ready() && !own.leaving()) {
      ready.add(self);
    }
    entries.values().stream()
        .filter(entry -> isLive(entry, now) && entry.beat.ready() && !entry.beat.leaving())
        .forEach(entry -> ready.add(entry.fellow));
    ready.sort(Comparator.comparing(fellow -> !fellow.dataCentre().equals(near)));
    return ready;
  }

  /** Returns the names of the given instances. */
  public static List<String> names(Collection<Fellow> fellows) {
    return fellows.stream().map(Fellow::name).toList();
  }

  private record Told(QueueWait queueWait, long at) {}

  private static final class Entry {
    private final Fellow fellow;
    private Beat beat = Beat.UNKNOWN;
    private long heardAt;
    private boolean connected;

    private Entry(Fellow fellow) {
      this.fellow = fellow;
    }
  }
}

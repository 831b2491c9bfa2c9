package org.arbutusspar.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Finds prompt parts that crash each model engine which starts a response to them.
 *
 * <p>Load pattern: requests that differ in all but one part of their prompts arrive at any
 * instance, and each of them ends the process of its replica. If only replicas are judged, each
 * such request is placed on the next healthy one, until few replicas carry all load.
 *
 * <p>A part is crashing if it was in requests that broke off with {@value #CRASHES_OF_NEW_PART}
 * replicas in sequence, or {@value #CRASHES_OF_SOUND_PART} if responses to it were complete before,
 * and in no response that was started since and completed.
 *
 * <ul>
 *   <li>In sequence means that each of these requests was placed after the crash before it was
 *       known: replicas that fail at the same moment, as by a power loss, say nothing about what
 *       they have in common.
 *   <li>A replica that starts a response soon after its supposed crash, or breaks off another one,
 *       has not crashed.
 *   <li>Crashes of replicas that all ran one repeated request are the request's: they say nothing
 *       about its parts, nor about those of the requests beside it. What else ran at the last of
 *       these replicas may not be known yet.
 *   <li>A crash under a crashing part is not held against the other parts in flight there.
 *   <li>Of several parts that have only been in requests together, the last one in the prompt is
 *       blamed, and later than a part alone: the fewest requests share it.
 * </ul>
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class CrashingPartDetector {

  /** Number of crashes in sequence after which a part without a complete response is crashing. */
  private static final int CRASHES_OF_NEW_PART = 3;

  /**
   * Number of crashes in sequence after which any part is crashing. It is higher since a part that
   * many requests share is in flight at most replicas that crash for another reason.
   */
  private static final int CRASHES_OF_SOUND_PART = 5;

  /**
   * Time after the start of a response in milliseconds from which a crash of its replica is not
   * attributed to its prompt.
   */
  private static final long START_PHASE_MILLIS = 2_000;

  /**
   * Time after a supposed crash within which a response of the same replica refutes it, in
   * milliseconds. It is shorter than the restart of a replica, which may keep its identifier.
   */
  private static final long REFUTATION_MILLIS = 2_000;

  private static final int MAX_REQUESTS = 50_000;
  private static final int MAX_SUSPECTS = 2_048;
  private static final int MAX_SOUND_PARTS = 16_384;
  private static final int MAX_CRASHED_REPLICAS = 512;

  private final Map<String, PlacedRequest> requests = BoundedMaps.droppingOldest(MAX_REQUESTS);
  private final Map<String, Suspect> suspects = BoundedMaps.droppingOldest(MAX_SUSPECTS);
  private final Map<String, Boolean> soundParts = BoundedMaps.droppingOldest(MAX_SOUND_PARTS);

  /** Time of the last supposed crash, by replica. */
  private final Map<String, Long> crashTimes = BoundedMaps.droppingOldest(MAX_CRASHED_REPLICAS);

  /** Replicas that crashed under a crashing part. */
  private final Map<String, Boolean> explainedReplicas =
      BoundedMaps.droppingOldest(MAX_CRASHED_REPLICAS);

  /** Subjects of the requests that broke off, by replica. */
  private final Map<String, Set<String>> brokenSubjects =
      BoundedMaps.droppingOldest(MAX_CRASHED_REPLICAS);

  private CrashingPartDetector() {}

  /** Returns a detector that has seen no request. */
  public static CrashingPartDetector create() {
    return new CrashingPartDetector();
  }

  /**
   * Records that a request has been placed.
   *
   * @param requestId identifier of the request, not null
   * @param parts identifiers of the shared parts of its prompt in their order, not null
   * @param replica the chosen replica, not null
   * @param now current time
   */
  public void onPlaced(String requestId, List<String> parts, UpstreamReplica replica, long now) {
    if (!parts.isEmpty()) {
      requests.put(requestId, new PlacedRequest(List.copyOf(parts), replica.incarnation(), now));
    }
  }

  /**
   * Records that the response to a request has started.
   *
   * @param requestId identifier of the request, not null
   * @param now current time
   * @return what is known newly
   */
  public Findings onResponseStarted(String requestId, long now) {
    PlacedRequest request = requests.get(requestId);
    if (request == null || request.hasStarted) {
      return Findings.NONE;
    }
    request.hasStarted = true;
    request.startedAt = now;
    boolean refuted =
        wasReachedAfterCrash(request)
            && now - crashTimes.get(request.replica) < Nanos.ofMillis(REFUTATION_MILLIS);
    return refuted ? refuteCrash(request.replica) : Findings.NONE;
  }

  private boolean wasReachedAfterCrash(PlacedRequest request) {
    Long crashedAt = crashTimes.get(request.replica);
    return crashedAt != null && request.placedAt - crashedAt > 0;
  }

  private Findings refuteCrash(String replica) {
    explainedReplicas.remove(replica);
    return Findings.cleared(removeCrashes(replica::equals, Set.of()));
  }

  /**
   * Records that the response to a request is complete.
   *
   * @param requestId identifier of the request, not null
   * @param now current time
   * @return what is known newly
   */
  public Findings onCompleted(String requestId, long now) {
    PlacedRequest request = requests.remove(requestId);
    if (request == null) {
      return Findings.NONE;
    }
    long startedAt = request.hasStarted ? request.startedAt : now;
    Set<String> cleared = new HashSet<>();
    for (String part : request.parts) {
      Suspect suspect = suspects.get(part);
      if (suspect != null && startedAt - suspect.crashes.getFirst().at() <= 0) {
        continue;
      }
      if (suspect != null) {
        suspects.remove(part);
        if (suspect.crashing) {
          cleared.add(part);
        }
      }
      soundParts.remove(part);
      soundParts.put(part, true);
    }
    return Findings.cleared(cleared);
  }

  /**
   * Records that the connection to its replica broke after a request was sent and before its
   * response was complete.
   *
   * @param requestId identifier of the request, not null
   * @param subject subject of the request, the same for repeated requests, not null
   * @param now current time
   * @return what is known newly, and the crashing parts of the request that were known before
   */
  public Findings onBroken(String requestId, String subject, long now) {
    PlacedRequest request = requests.remove(requestId);
    if (request == null || request.isPastStart(now)) {
      return Findings.NONE;
    }
    if (wasReachedAfterCrash(request)) {
      return refuteCrash(request.replica);
    }
    brokenSubjects.computeIfAbsent(request.replica, name -> new HashSet<>()).add(subject);
    crashTimes.put(request.replica, now);
    boolean explained = explainedReplicas.containsKey(request.replica);
    for (String part : request.parts) {
      Suspect suspect = suspects.get(part);
      if (suspect == null && !explained) {
        suspect = new Suspect();
        suspects.put(part, suspect);
      }
      if (suspect != null && (suspect.crashing || !explained)) {
        suspect.addCrash(request, now);
      }
    }
    Set<String> crashing = new HashSet<>();
    request.parts.stream().filter(this::isCrashing).forEach(crashing::add);
    if (crashing.isEmpty()) {
      findCrashing(request.parts).ifPresent(crashing::add);
    }
    if (crashing.isEmpty()) {
      return Findings.NONE;
    }
    crashing.forEach(part -> suspects.get(part).crashing = true);
    return new Findings(crashing, explain(request.replica, crashing));
  }

  private boolean isCrashing(String part) {
    Suspect suspect = suspects.get(part);
    return suspect != null && suspect.crashing;
  }

  /** Returns the part of a prompt that is crashing by its number of crashes, if there is one. */
  private Optional<String> findCrashing(List<String> parts) {
    List<String> newParts = parts.stream().filter(part -> !soundParts.containsKey(part)).toList();
    List<String> mostSuspect = mostSuspect(newParts, CRASHES_OF_NEW_PART);
    if (mostSuspect.size() == 1) {
      return Optional.of(mostSuspect.get(0));
    }
    mostSuspect = mostSuspect(newParts, CRASHES_OF_SOUND_PART);
    if (mostSuspect.isEmpty()) {
      mostSuspect = mostSuspect(parts, CRASHES_OF_SOUND_PART);
    }
    return mostSuspect.isEmpty()
        ? Optional.empty()
        : Optional.of(mostSuspect.get(mostSuspect.size() - 1));
  }

  /** Returns the parts with most crashes in their order, or none if these are too few. */
  private List<String> mostSuspect(List<String> parts, int minCrashes) {
    int most = parts.stream().mapToInt(this::crashes).max().orElse(0);
    return most < minCrashes
        ? List.of()
        : parts.stream().filter(part -> crashes(part) == most).toList();
  }

  private int crashes(String part) {
    Suspect suspect = suspects.get(part);
    if (suspect == null) {
      return 0;
    }
    int crashes = suspect.crashes.size();
    return mayBeOneRequest(suspect) ? Math.min(crashes, CRASHES_OF_NEW_PART - 1) : crashes;
  }

  /** Returns whether one request broke off at all replicas that crashed, the last one aside. */
  private boolean mayBeOneRequest(Suspect suspect) {
    List<Crash> crashes = List.copyOf(suspect.crashes);
    Set<String> common = new HashSet<>(subjectsAt(crashes.get(0)));
    for (Crash crash : crashes.subList(1, Math.max(1, crashes.size() - 1))) {
      common.retainAll(subjectsAt(crash));
    }
    return !common.isEmpty();
  }

  private Set<String> subjectsAt(Crash crash) {
    return brokenSubjects.getOrDefault(crash.replica(), Set.of());
  }

  /**
   * Attributes a crash, and those before it, to crashing parts. Returns the parts cleared by it.
   */
  private Set<String> explain(String replica, Set<String> crashing) {
    Set<String> replicas = new HashSet<>(Set.of(replica));
    crashing.forEach(part -> replicas.addAll(crashedReplicas(part)));
    replicas.forEach(name -> explainedReplicas.put(name, true));
    return removeCrashes(replicas::contains, crashing);
  }

  /** Removes crashes of some replicas from all suspects but some. Returns the cleared parts. */
  private Set<String> removeCrashes(Predicate<String> replica, Set<String> keptParts) {
    Set<String> cleared = new HashSet<>();
    suspects.forEach(
        (part, suspect) -> {
          boolean removed =
              !keptParts.contains(part)
                  && suspect.crashes.removeIf(crash -> replica.test(crash.replica()));
          if (removed && suspect.crashing && suspect.crashes.size() < CRASHES_OF_NEW_PART) {
            suspect.crashing = false;
            cleared.add(part);
          }
        });
    suspects.values().removeIf(suspect -> suspect.crashes.isEmpty());
    return cleared;
  }

  /**
   * Records the end of a request that tells nothing about its prompt.
   *
   * @param requestId identifier of the request, not null
   * @return nothing new
   */
  public Findings onEnded(String requestId) {
    requests.remove(requestId);
    return Findings.NONE;
  }

  /**
   * Returns the replicas whose crashes are held against a part, for logs.
   *
   * @param part identifier of the part, not null
   * @return the replicas with the times of their starts, in the order of the crashes
   */
  public List<String> crashedReplicas(String part) {
    Suspect suspect = suspects.get(Objects.requireNonNull(part, "part"));
    return suspect == null ? List.of() : suspect.crashes.stream().map(Crash::replica).toList();
  }

  /**
   * What an event says of prompt parts. Immutable.
   *
   * @param crashing parts that crash engines
   * @param cleared parts that were crashing and are not after all
   */
  public record Findings(Set<String> crashing, Set<String> cleared) {

    static final Findings NONE = new Findings(Set.of(), Set.of());

    /** Copies the sets. */
    public Findings {
      crashing = Set.copyOf(crashing);
      cleared = Set.copyOf(cleared);
    }

    static Findings cleared(Set<String> parts) {
      return parts.isEmpty() ? NONE : new Findings(Set.of(), parts);
    }
  }

  /** Crash of a replica under a request, at the time at which it was known here. */
  private record Crash(String replica, long at) {}

  /** Crashes in sequence that a part was involved in, the last ones. */
  private static final class Suspect {
    private final Deque<Crash> crashes = new ArrayDeque<>();
    private boolean crashing;

    private void addCrash(PlacedRequest request, long now) {
      if (crashes.isEmpty() || request.placedAt - crashes.getLast().at() > 0) {
        crashes.addLast(new Crash(request.replica, now));
        if (crashes.size() > CRASHES_OF_SOUND_PART) {
          crashes.removeFirst();
        }
      }
    }
  }

  /** A request that is placed on a replica and has not ended. */
  private static final class PlacedRequest {
    private final List<String> parts;
    private final String replica;
    private final long placedAt;
    private boolean hasStarted;
    private long startedAt;

    private PlacedRequest(List<String> parts, String replica, long placedAt) {
      this.parts = parts;
      this.replica = replica;
      this.placedAt = placedAt;
    }

    private boolean isPastStart(long now) {
      return hasStarted && now - startedAt > Nanos.ofMillis(START_PHASE_MILLIS);
    }
  }
}

package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Finds requests that crash each replica which runs them.
 *
 * <p>Load pattern: a client repeats one request at any instance, beside sound requests, and each
 * time the replica that runs it crashes. If only replicas are judged, or if each instance counts
 * for itself, the request ends replica after replica.
 *
 * <p>Every instance holds the reports of all instances. What is found depends on the reports and
 * not on their order, so that all instances find the same and none is needed for it.
 *
 * <p>Reports count from {@value #SETTLING_MILLIS} ms after the break, when those of all instances
 * on the same crash have arrived. A request is crashing if it was sent to {@value #MIN_CRASHES}
 * replicas that broke off, and to one of them after another one had broken off, and if it has had
 * no complete response.
 *
 * <ul>
 *   <li>Replicas that fail at the same moment, as by a power loss, say nothing about what they ran.
 *   <li>A replica that responds soon after its supposed crash, or breaks off a request that was
 *       sent then, has not crashed.
 *   <li>A crash under a crashing request is not held against the other requests there, and is a
 *       finding by itself.
 *   <li>Of several requests that were at the same replicas, none is found before {@value
 *       #MIN_CRASHES_WITH_RIVAL} crashes, since the next crash probably tells them apart.
 * </ul>
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class CrashingRequestDetector {

  private static final int MIN_CRASHES = 3;
  private static final int MIN_CRASHES_WITH_RIVAL = 5;

  /**
   * Minimum length of a sequence of crashes in which each request was sent after the one before.
   */
  private static final int MIN_SEQUENCE = 2;

  /** Time in milliseconds after which a report no longer counts. */
  private static final long REPORT_VALIDITY_MILLIS = 600_000;

  /**
   * Time after a supposed crash within which a response or another break of the same replica
   * refutes it, in milliseconds. It is shorter than the restart of a replica, which may keep its
   * identifier.
   */
  private static final long REFUTATION_MILLIS = 2_000;

  /** Time after a break for the reports of all instances to arrive, in milliseconds. */
  public static final long SETTLING_MILLIS = 200;

  private static final int MAX_SUSPECTS = 2_048;
  private static final int MAX_SEEN = 8_192;
  private static final int MAX_CRASHED_REPLICAS = 512;

  /** Crashes by subject of the request. */
  private final Map<String, Suspect> suspects = BoundedMaps.droppingOldest(MAX_SUSPECTS);

  /** Reports that were added, so that a copy that arrives later is not added again. */
  private final Map<String, Boolean> seen = BoundedMaps.droppingOldest(MAX_SEEN);

  /** Time of the last break that could be a crash, by incarnation of the replica. */
  private final Map<String, Long> crashTimes = BoundedMaps.droppingOldest(MAX_CRASHED_REPLICAS);

  private CrashingRequestDetector() {}

  /** Returns a detector without reports. */
  public static CrashingRequestDetector create() {
    return new CrashingRequestDetector();
  }

  /**
   * Adds a report of this or another instance.
   *
   * @param report the report, not null
   * @param now current time
   * @return whether the report is new
   */
  public boolean add(CrashReport report, long now) {
    if (seen.putIfAbsent(report.subject() + '@' + report.incarnation(), true) != null) {
      return false;
    }
    suspects.values().removeIf(suspect -> suspect.isExpired(now));
    boolean refuted = isRefuted(report.incarnation(), report.sentAt());
    if (refuted) {
      removeCrashes(report.incarnation());
    }
    Long crashedAt = crashTimes.get(report.incarnation());
    if (crashedAt == null || report.sentAt() - crashedAt > 0) {
      crashTimes.put(report.incarnation(), report.brokenAt());
    }
    if (!refuted && !isExplained(report)) {
      Suspect suspect = suspects.computeIfAbsent(report.subject(), name -> new Suspect());
      suspect.add(report);
      if (suspect.crashing) {
        explainCrashes(suspect);
      }
    }
    return true;
  }

  /** Returns whether the replica of a report crashed under another request that is crashing. */
  private boolean isExplained(CrashReport report) {
    return suspects.entrySet().stream()
        .anyMatch(
            entry ->
                entry.getValue().crashing
                    && !entry.getKey().equals(report.subject())
                    && entry.getValue().reports.containsKey(report.incarnation()));
  }

  /**
   * Returns what has been found since the last call.
   *
   * @param now current time
   * @return the findings
   */
  public Findings findings(long now) {
    List<String> cleared = new ArrayList<>();
    suspects.forEach(
        (subject, suspect) -> {
          if (suspect.crashing && suspect.reports.size() < MIN_CRASHES) {
            suspect.crashing = false;
            cleared.add(subject);
          }
        });
    removeEmpty();
    List<String> crashing = new ArrayList<>();
    suspects.forEach(
        (name, suspect) -> {
          if (suspect.crashing && suspect.crashedAgain) {
            suspect.crashedAgain = false;
            crashing.add(name);
          }
        });
    Optional<String> subject = nextCrashing(now);
    while (subject.isPresent()) {
      Suspect suspect = suspects.get(subject.get());
      suspect.crashing = true;
      crashing.add(subject.get());
      explainCrashes(suspect);
      subject = nextCrashing(now);
    }
    return new Findings(crashing, cleared);
  }

  private Optional<String> nextCrashing(long now) {
    return suspects.entrySet().stream()
        .filter(entry -> !entry.getValue().crashing && isCrashing(entry.getValue(), now))
        .max(Comparator.comparingInt(entry -> entry.getValue().reports.size()))
        .map(Map.Entry::getKey);
  }

  private boolean isCrashing(Suspect suspect, long now) {
    List<CrashReport> settled = suspect.settledReports(now);
    return settled.size() >= MIN_CRASHES
        && sequenceLength(settled) >= MIN_SEQUENCE
        && (settled.size() >= MIN_CRASHES_WITH_RIVAL || !hasRival(suspect, settled));
  }

  /** Returns the length of a sequence in which each request was sent after the crash before. */
  private static int sequenceLength(List<CrashReport> reports) {
    List<CrashReport> ordered = new ArrayList<>(reports);
    ordered.sort(Comparator.comparingLong(CrashReport::brokenAt));
    int length = 0;
    long lastBrokenAt = 0;
    for (CrashReport report : ordered) {
      if (length == 0 || report.sentAt() - lastBrokenAt > 0) {
        length++;
        lastBrokenAt = report.brokenAt();
      }
    }
    return length;
  }

  /** Returns whether another request was at all replicas that crashed under a request. */
  private boolean hasRival(Suspect suspect, List<CrashReport> reports) {
    return suspects.values().stream()
        .filter(other -> other != suspect)
        .anyMatch(
            other -> reports.stream().allMatch(r -> other.reports.containsKey(r.incarnation())));
  }

  /** Removes the crashes under a crashing request from the other requests. */
  private void explainCrashes(Suspect crashing) {
    suspects.values().stream()
        .filter(other -> !other.crashing)
        .forEach(other -> other.reports.keySet().removeAll(crashing.reports.keySet()));
    removeEmpty();
  }

  private void removeEmpty() {
    suspects.values().removeIf(suspect -> suspect.reports.isEmpty());
  }

  /**
   * Records that a request has had a complete response, so that it does not crash replicas.
   *
   * @param subject subject of the request, not null
   * @return whether there were crashes under it
   */
  public boolean onCompleted(String subject) {
    return suspects.remove(subject) != null;
  }

  /**
   * Records that a replica responded to a request.
   *
   * @param incarnation name of the incarnation of the replica, not null
   * @param sentAt time when the request was sent
   * @return whether this shows that an earlier break, which counted until now, was no crash
   */
  public boolean refuteCrash(String incarnation, long sentAt) {
    return isRefuted(incarnation, sentAt) && removeCrashes(incarnation);
  }

  /** Returns whether a replica that was reached by a request has not crashed shortly before. */
  private boolean isRefuted(String incarnation, long sentAt) {
    Long crashedAt = crashTimes.get(incarnation);
    if (crashedAt == null) {
      return false;
    }
    long delay = sentAt - crashedAt;
    return delay > 0 && delay < Nanos.ofMillis(REFUTATION_MILLIS);
  }

  /**
   * Removes the crashes of a replica that was found not to have crashed.
   *
   * @param incarnation name of the incarnation of the replica, not null
   * @return whether it had any
   */
  public boolean removeCrashes(String incarnation) {
    long removed =
        suspects.values().stream()
            .filter(suspect -> suspect.reports.remove(incarnation) != null)
            .count();
    return removed > 0;
  }

  /** Returns the reports that count. */
  public List<CrashReport> reports() {
    return suspects.values().stream().flatMap(s -> s.reports.values().stream()).toList();
  }

  /**
   * Returns the replicas that crashed under a request, for logs.
   *
   * @param subject subject of the request, not null
   * @return the incarnations of the replicas
   */
  public List<String> crashedReplicas(String subject) {
    Suspect suspect = suspects.get(subject);
    return suspect == null ? List.of() : List.copyOf(suspect.reports.keySet());
  }

  /**
   * What is newly known of requests. Immutable.
   *
   * @param crashing subjects of requests that crash replicas
   * @param cleared subjects of requests that were crashing and are not after all
   */
  public record Findings(List<String> crashing, List<String> cleared) {

    /** Copies the lists. */
    public Findings {
      crashing = List.copyOf(crashing);
      cleared = List.copyOf(cleared);
    }
  }

  /** Crashes under one request. */
  private static final class Suspect {

    /** Reports by incarnation of the replica. */
    private final Map<String, CrashReport> reports = new LinkedHashMap<>();

    private boolean crashing;

    /** Whether there was another crash since the request was found to be crashing. */
    private boolean crashedAgain;

    private void add(CrashReport report) {
      reports.put(report.incarnation(), report);
      crashedAgain = crashing;
    }

    private List<CrashReport> settledReports(long now) {
      return reports.values().stream()
          .filter(report -> now - report.brokenAt() >= Nanos.ofMillis(SETTLING_MILLIS))
          .toList();
    }

    /** A request that is known to be crashing is blocked again after its next crash. */
    private boolean isExpired(long now) {
      return !crashing
          && reports.values().stream()
              .allMatch(report -> now - report.brokenAt() > Nanos.ofMillis(REPORT_VALIDITY_MILLIS));
    }
  }
}

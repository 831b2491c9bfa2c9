package org.arbutusspar.core.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.routing.RouteStage;

/**
 * Progress of the stages of one request. Tracks which stages may start, which results later stages
 * and the request itself read, and which results can be released. A stage is done when each of its
 * pieces has a result; a stage without pieces is done from the start.
 */
public final class StagePlan {

  private final List<RouteStage> stages;
  private final StageResult[][] results;
  private final int[] missingResults;
  private final boolean[] started;
  private final boolean[] taken;

  private StagePlan(List<RouteStage> stages, List<Integer> pieceCounts) {
    this.stages = stages;
    this.results = new StageResult[stages.size()][];
    this.missingResults = new int[stages.size()];
    this.started = new boolean[stages.size()];
    this.taken = new boolean[stages.size()];
    for (int i = 0; i < stages.size(); i++) {
      results[i] = new StageResult[pieceCounts.get(i)];
      missingResults[i] = pieceCounts.get(i);
      started[i] = pieceCounts.get(i) == 0;
    }
  }

  /**
   * Returns a plan without results.
   *
   * @param stages the stages of the request's route, not null
   * @param pieceCounts number of pieces of each stage, not negative
   * @return the plan
   * @throws IllegalArgumentException if there is not one count for each stage
   */
  public static StagePlan create(List<RouteStage> stages, List<Integer> pieceCounts) {
    Validate.isTrue(
        stages.size() == pieceCounts.size(),
        "request has piece counts for %d stages, its route has %d",
        pieceCounts.size(),
        stages.size());
    pieceCounts.forEach(count -> Validate.isTrue(count >= 0, "piece counts must not be negative"));
    return new StagePlan(stages, pieceCounts);
  }

  /**
   * Marks the next stages as started and returns their indexes. These are the stages that have not
   * started and whose predecessors are done.
   */
  public List<Integer> startNext() {
    List<Integer> next = new ArrayList<>();
    for (int i = 0; i < started.length; i++) {
      if (!started[i]
          && stages.get(i).after().stream()
              .allMatch(predecessor -> missingResults[predecessor] == 0)) {
        started[i] = true;
        next.add(i);
      }
    }
    return next;
  }

  /**
   * Records the result of a piece. A second result of the same piece is ignored.
   *
   * @param stage index of the stage
   * @param piece index of the piece
   * @param result the result, not null
   * @return false if the piece already has a result
   */
  public boolean complete(int stage, int piece, StageResult result) {
    if (results[stage][piece] != null) {
      return false;
    }
    results[stage][piece] = result;
    missingResults[stage]--;
    return true;
  }

  /** Returns the number of pieces of a stage. */
  public int pieces(int stage) {
    return results[stage].length;
  }

  /** Returns whether every piece of a stage has a result. */
  public boolean isDone(int stage) {
    return missingResults[stage] == 0;
  }

  /** Returns whether every stage is done. */
  public boolean isDone() {
    return Arrays.stream(missingResults).allMatch(missingCount -> missingCount == 0);
  }

  /** Returns the results that a stage reads, in the order of its predecessors and their pieces. */
  public List<StageResult> inputsOf(int stage) {
    List<StageResult> inputs = new ArrayList<>();
    stages
        .get(stage)
        .after()
        .forEach(predecessor -> inputs.addAll(Arrays.asList(results[predecessor])));
    return inputs;
  }

  /** Returns the results that the request itself reads: those of all terminal stages. */
  public List<StageResult> requestInputs() {
    List<StageResult> inputs = new ArrayList<>();
    for (int i = 0; i < results.length; i++) {
      if (isTerminal(i)) {
        inputs.addAll(Arrays.asList(results[i]));
      }
    }
    return inputs;
  }

  /** Returns whether a stage is terminal: no other stage reads its results. */
  public boolean isTerminal(int stage) {
    return stages.stream().noneMatch(other -> other.after().contains(stage));
  }

  /**
   * Returns the results that are no longer needed because every stage that reads them is done. Each
   * result is returned once.
   */
  public List<StageResult> takeConsumed() {
    List<StageResult> consumed = new ArrayList<>();
    for (int i = 0; i < results.length; i++) {
      if (!taken[i] && isDone(i) && !isTerminal(i) && areDependentsDone(i)) {
        consumed.addAll(take(i));
      }
    }
    return consumed;
  }

  private boolean areDependentsDone(int stage) {
    for (int i = 0; i < results.length; i++) {
      if (stages.get(i).after().contains(stage) && !isDone(i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the results that have not been returned by this method or {@link #takeConsumed}. */
  public List<StageResult> takeRemaining() {
    List<StageResult> remaining = new ArrayList<>();
    for (int i = 0; i < results.length; i++) {
      if (!taken[i]) {
        remaining.addAll(take(i));
      }
    }
    return remaining;
  }

  private List<StageResult> take(int stage) {
    taken[stage] = true;
    return Arrays.stream(results[stage]).filter(Objects::nonNull).toList();
  }

  /**
   * Returns the longest path from a stage to a terminal stage, counted in stages.
   *
   * @param stage index of the first stage of the path
   * @return indexes of the stages on the path, in the order in which they run
   */
  public List<Integer> longestPathFrom(int stage) {
    List<Integer> longest = List.of();
    for (int next = stage + 1; next < results.length; next++) {
      if (stages.get(next).after().contains(stage)) {
        List<Integer> candidate = longestPathFrom(next);
        longest = candidate.size() > longest.size() ? candidate : longest;
      }
    }
    List<Integer> path = new ArrayList<>(List.of(stage));
    path.addAll(longest);
    return path;
  }
}

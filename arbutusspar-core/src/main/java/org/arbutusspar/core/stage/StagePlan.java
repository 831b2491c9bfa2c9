package org.arbutusspar.core.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.routing.RouteStage;

/**
 * How far the stages of one request are: which may start, and which results the request and its
 * later stages read. A stage without pieces counts as done from the start.
 */
public final class StagePlan {

  private final List<RouteStage> stages;
  private final StageResult[][] results;
  private final int[] missingResults;
  private final boolean[] started;
  private final boolean[] handedOut;

  private StagePlan(List<RouteStage> stages, List<Integer> pieceCounts) {
    this.stages = stages;
    this.results = new StageResult[stages.size()][];
    this.missingResults = new int[stages.size()];
    this.started = new boolean[stages.size()];
    this.handedOut = new boolean[stages.size()];
    for (int i = 0; i < stages.size(); i++) {
      results[i] = new StageResult[pieceCounts.get(i)];
      missingResults[i] = pieceCounts.get(i);
      started[i] = pieceCounts.get(i) == 0;
    }
  }

  /**
   * Returns a plan of which nothing is done.
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

  /** Marks the stages that can start as started, and returns their indexes. */
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
   * Takes the result of a piece. A second result of the same piece is not taken.
   *
   * @param stage index of the stage
   * @param piece index of the piece
   * @param result the result, not null
   * @return whether the result was taken
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

  /** Returns the results that a stage reads, in the order of stages and pieces. */
  public List<StageResult> inputsOf(int stage) {
    List<StageResult> inputs = new ArrayList<>();
    stages
        .get(stage)
        .after()
        .forEach(predecessor -> inputs.addAll(Arrays.asList(results[predecessor])));
    return inputs;
  }

  /** Returns the results that the request reads: those of stages that no other stage reads. */
  public List<StageResult> requestInputs() {
    List<StageResult> inputs = new ArrayList<>();
    for (int i = 0; i < results.length; i++) {
      if (isTerminal(i)) {
        inputs.addAll(Arrays.asList(results[i]));
      }
    }
    return inputs;
  }

  /** Returns whether no other stage reads the results of a stage. */
  public boolean isTerminal(int stage) {
    return stages.stream().noneMatch(other -> other.after().contains(stage));
  }

  /** Returns the results that every stage which reads them has read, each once. */
  public List<StageResult> takeConsumed() {
    List<StageResult> consumed = new ArrayList<>();
    for (int i = 0; i < results.length; i++) {
      if (!handedOut[i] && isDone(i) && !isTerminal(i) && areDependentsDone(i)) {
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
      if (!handedOut[i]) {
        remaining.addAll(take(i));
      }
    }
    return remaining;
  }

  private List<StageResult> take(int stage) {
    handedOut[stage] = true;
    return Arrays.stream(results[stage]).filter(Objects::nonNull).toList();
  }

  /**
   * Returns the stages that are on the longest path from a stage to the end, the stage included.
   *
   * @param stage index of the stage
   * @return indexes in the order in which the stages run
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

package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

/**
 * Replays long and short prompts at nine engines in three data centres. Those in the first data
 * centre read at half the speed of the others. Learned speeds are compared with equal ones.
 */
class SlowEnginesTest {

  private static final int DATA_CENTRES = 3;
  private static final int REQUESTS = 4_000;
  private static final long ARRIVAL_MILLIS = 6;
  private static final double OBJECTIVE_MILLIS = 250;

  /** Size of the results that a request reads from its data centre, in bytes. */
  private static final long RESULT_BYTES = 2_000_000;

  private static final double WAVE_MILLIS = 6_000;

  /** Slow engines read fewer prompts in time, but they read some. */
  @Test
  void longPromptsGoToFastEnginesAndSlowOnesGetWhatTheyReadInTime() {
    Replay equal = new Replay(false, false);
    Replay speeds = new Replay(true, false);
    assertTrue(speeds.late() < 0.5 * equal.late(), speeds + " " + equal);
    assertTrue(speeds.slowLong < 0.5 * equal.slowLong, speeds + " " + equal);
    assertTrue(speeds.slow > 0.04 * REQUESTS, speeds + " " + equal);
  }

  /**
   * Most callers come from one data centre after the other. Those near slow engines must not be
   * served worse for it.
   */
  @Test
  void waveThatMovesBetweenDataCentresIsServedAlikeInEach() {
    Replay equal = new Replay(false, true);
    Replay speeds = new Replay(true, true);
    assertTrue(speeds.worst() < 0.5 * equal.worst(), speeds + " " + equal);
  }

  private static DataCentre dataCentre(int number) {
    return DataCentre.of("dc-" + number);
  }

  /** A prompt that an engine has read. Times are in milliseconds. */
  private record Read(double end, String id, UpstreamReplica replica, double took) {}

  /** One run of the load with a placer. */
  private static final class Replay {
    private final int[] requests = new int[DATA_CENTRES];
    private final int[] lateOnes = new int[DATA_CENTRES];
    private final double[] freeAt = new double[3 * DATA_CENTRES];
    private final PriorityQueue<Read> reads =
        new PriorityQueue<>((a, b) -> Double.compare(a.end(), b.end()));
    private final ObservedSpeeds learned = ObservedSpeeds.create();
    private final EnginePlacer placer;
    private int slow;
    private int slowLong;

    private Replay(boolean useSpeeds, boolean readsResults) {
      placer =
          EnginePlacer.create(
              SendPermits.UNLIMITED, ReplicaPace.NONE, useSpeeds ? learned : ReplicaSpeeds.EQUAL);
      List<UpstreamReplica> replicas = new ArrayList<>();
      for (int i = 0; i < freeAt.length; i++) {
        Endpoint endpoint = new Endpoint("10.0.0.1", i + 1);
        DataCentre dataCentre = dataCentre(i % DATA_CENTRES);
        replicas.add(new UpstreamReplica("r" + i, "s", endpoint, dataCentre, 32, false, 1));
      }
      placer.replicas(replicas);
      Random random = new Random(5);
      for (int i = 0; i < REQUESTS; i++) {
        run(i, random, readsResults);
      }
    }

    private void run(int i, Random random, boolean readsResults) {
      double now = i * ARRIVAL_MILLIS;
      while (!reads.isEmpty() && reads.peek().end() <= now) {
        onRead(reads.poll());
      }
      boolean isLong = random.nextDouble() < 0.2;
      int tokens = isLong ? 8_000 + random.nextInt(8_000) : 500 + random.nextInt(1_500);
      boolean inWave = random.nextDouble() < 0.7;
      int caller = (inWave ? (int) (now / WAVE_MILLIS) : random.nextInt(9)) % DATA_CENTRES;
      Optional<DataCentre> preferred =
          readsResults ? Optional.of(dataCentre(caller)) : Optional.empty();
      String id = "q" + i;
      EnginePlacer.EngineRequest request =
          new EnginePlacer.EngineRequest(
              id, "e", List.of(), i, 0, tokens, preferred, RESULT_BYTES, List.of());
      UpstreamReplica replica = placer.place(request, nanos(now)).orElseThrow();
      int number = Integer.parseInt(replica.id().substring(1));
      boolean slowEngine = number % DATA_CENTRES == 0;
      freeAt[number] = Math.max(freeAt[number], now) + tokens / (slowEngine ? 44.0 : 96.0);
      reads.add(new Read(freeAt[number], id, replica, freeAt[number] - now));
      requests[caller]++;
      lateOnes[caller] += freeAt[number] - now > OBJECTIVE_MILLIS ? 1 : 0;
      slow += slowEngine ? 1 : 0;
      slowLong += slowEngine && isLong ? 1 : 0;
    }

    private void onRead(Read read) {
      double expected = placer.workBeforeResponse(read.id()).orElseThrow().expectedMillis();
      learned.onWork(read.replica(), expected, read.took(), OptionalInt.of(100), nanos(read.end()));
      learned.onStated(read.replica(), 100, nanos(read.end()));
      placer.onResponseStarted(read.id(), nanos(read.end()));
      placer.onEnded(read.id(), true, nanos(read.end()));
    }

    private int late() {
      return lateOnes[0] + lateOnes[1] + lateOnes[2];
    }

    /** Returns the largest share of late requests of a data centre's callers. */
    private double worst() {
      double worst = 0;
      for (int i = 0; i < DATA_CENTRES; i++) {
        worst = Math.max(worst, (double) lateOnes[i] / requests[i]);
      }
      return worst;
    }

    @Override
    public String toString() {
      return late() + " late, worst " + worst() + ", slow " + slow + ", long " + slowLong;
    }
  }

  private static long nanos(double millis) {
    return (long) (millis * Nanos.ofMillis(1));
  }
}

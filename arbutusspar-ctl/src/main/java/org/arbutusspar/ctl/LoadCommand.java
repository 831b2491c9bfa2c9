package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.io.http.HttpCaller;

/**
 * Sends an open-loop load, whose rate jumps at a broadcast and then decays, and prints its
 * statistics. Latency is measured from the time at which a request was due, not from the time at
 * which it was sent, so that a delayed load generator does not hide waiting time.
 */
@Command(
    name = "load",
    description =
        "Send a seeded, open-loop load with a spike that decays; exit code 4 if an answer is wrong")
public final class LoadCommand extends CtlCommand {

  private static final int CLIENT_THREADS = 32;

  /** Arrivals are skipped, and not counted, while this many requests are pending. */
  private static final int MAX_PENDING_REQUESTS = 40_000;

  /** Time that pending requests have to complete after the last arrival. */
  private static final long DRAIN_TIMEOUT_SECONDS = 30;

  private static final double NANOS_PER_SECOND = 1e9;

  @Option(name = "--workload", title = "FILE", description = "JSON file with the mix of requests")
  @Required
  private String workloadFile;

  @Option(name = "--seed", title = "N", description = "Seed of arrival times and requests")
  private long seed = 1;

  @Option(name = "--seconds", title = "N", description = "Duration of the load in seconds")
  private double durationSeconds = 30;

  @Option(name = "--rate", title = "N", description = "Requests per second before the broadcast")
  private double rate = 20;

  @Option(
      name = "--peak-rate",
      title = "N",
      description = "Requests per second at the broadcast, the spike; same as --rate if not given")
  private double peakRate = -1;

  @Option(
      name = "--broadcast-at",
      title = "S",
      description = "Second at which the rate jumps to the peak; a third of --seconds if not given")
  private double broadcastSecond = -1;

  @Option(
      name = "--decay",
      title = "S",
      description = "Time constant of the decay after the broadcast, in seconds")
  private double decaySeconds = 10;

  @Option(
      name = "--stream-share",
      title = "X",
      description = "Share of pipeline requests that ask for a stream, 0 to 1")
  private double streamShare;

  @Option(
      name = "--client-delay-ms",
      title = "MS",
      description = "Simulated one-way network delay between callers and instances")
  private double clientDelayMillis;

  @Option(
      name = "--warm-up",
      title = "S",
      description =
          "Seconds in which the rate rises from 0; their requests are left out of the statistics")
  private double warmUpSeconds;

  @Option(
      name = "--data-centres",
      title = "A,B",
      description = "Data centres of the callers, used in turn")
  private String dataCentres = "";

  @Option(
      name = "--outcomes",
      title = "FILE",
      description = "Write one line per request: outcome, workspace/identifier, kind")
  private String outcomesFile;

  @Option(
      name = "--verify",
      description = "Check that each answer is the complete answer of the stand-ins to its request")
  private boolean verify;

  private final LoadStats stats = LoadStats.create();
  private final List<AddressCache> addressCaches = new ArrayList<>();

  /** Creates the command; used by the command line parser. */
  public LoadCommand() {}

  @Override
  ExitCode execute(Output out) {
    Workload workload = Workload.read(Path.of(workloadFile));
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    String runId = "s" + seed + "-" + Long.toHexString(System.currentTimeMillis());
    RequestGenerator generator = RequestGenerator.create(workload, random, streamShare, runId);
    ArrivalPlan plan = ArrivalPlan.create(shape(), random);
    try (HttpCaller http = newHttp(CLIENT_THREADS);
        PrintWriter outcomes = openOutcomes()) {
      for (String dataCentre : dataCentres.split(",")) {
        addressCaches.add(AddressCache.create(http, instances(), dataCentre.trim()));
      }
      sendAll(CallerClient.create(http), plan, generator, outcomes);
      awaitPendingRequests();
    }
    if (out.isJson()) {
      out.json(stats.toJson());
    } else {
      stats.print(out);
    }
    return stats.wrongAnswers() == 0 ? ExitCode.OK : ExitCode.WRONG_ANSWER;
  }

  private ArrivalPlan.Shape shape() {
    return new ArrivalPlan.Shape(
        rate,
        peakRate < 0 ? rate : peakRate,
        broadcastSecond < 0 ? durationSeconds / 3 : broadcastSecond,
        decaySeconds,
        durationSeconds,
        warmUpSeconds);
  }

  private PrintWriter openOutcomes() {
    try {
      return outcomesFile == null
          ? new PrintWriter(OutputStream.nullOutputStream(), false)
          : new PrintWriter(Files.newBufferedWriter(Path.of(outcomesFile), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "--outcomes: " + e.getMessage());
    }
  }

  private void sendAll(
      CallerClient client, ArrivalPlan plan, RequestGenerator generator, PrintWriter outcomes) {
    long startNanos = System.nanoTime();
    long nextProgressSecond = 1;
    long index = 0;
    for (double arrivalSeconds = plan.nextArrivalSeconds();
        arrivalSeconds >= 0;
        arrivalSeconds = plan.nextArrivalSeconds()) {
      long dueNanos = startNanos + (long) (arrivalSeconds * NANOS_PER_SECOND);
      while (System.nanoTime() < dueNanos) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      if (arrivalSeconds >= nextProgressSecond) {
        System.err.println(stats.progress(nextProgressSecond));
        nextProgressSecond = (long) arrivalSeconds + 1;
      }
      CallSpec spec = generator.nextRequest();
      if (stats.pending() < MAX_PENDING_REQUESTS) {
        int cacheIndex = (int) (index++ % addressCaches.size());
        sendOne(client, spec, dueNanos, cacheIndex, outcomes, arrivalSeconds >= warmUpSeconds);
      }
    }
  }

  /**
   * Sends one request. The simulated network delay shortens the deadline that is sent and is added
   * to the measured latency, both times for the way there and back.
   *
   * @param client sender of the request
   * @param spec the request
   * @param dueNanos time at which the request should have been sent, as {@link System#nanoTime()}
   * @param cacheIndex index of the caller's address cache
   * @param outcomes receives one line when the request has ended
   * @param measured whether the request counts in the statistics
   */
  private void sendOne(
      CallerClient client,
      CallSpec spec,
      long dueNanos,
      int cacheIndex,
      PrintWriter outcomes,
      boolean measured) {
    stats.onSent();
    long addedNanos = (long) (2 * clientDelayMillis * TimeUnit.MILLISECONDS.toNanos(1));
    CallSpec sentSpec =
        withDeadlineMillis(spec, spec.deadlineMillis() - (long) (2 * clientDelayMillis));
    client
        .call(sentSpec, addressCaches.get(cacheIndex))
        .thenAccept(
            result -> {
              long latencyNanos = System.nanoTime() - dueNanos + addedNanos;
              boolean correct = !verify || RequestGenerator.isCorrect(spec, result);
              stats.onCompleted(spec, result, latencyNanos, correct, measured);
              synchronized (outcomes) {
                outcomes.println(
                    result.outcome()
                        + " "
                        + spec.workspace()
                        + "/"
                        + result.id()
                        + " "
                        + requestKind(spec));
              }
            });
  }

  private static String requestKind(CallSpec spec) {
    if (!spec.plainService()) {
      return "pipeline";
    }
    return spec.repeatable() ? "repeatable" : "once";
  }

  private static CallSpec withDeadlineMillis(CallSpec spec, long millis) {
    return new CallSpec(
        spec.path(),
        spec.workspace(),
        spec.workspaceKey(),
        spec.idSuffix(),
        spec.body(),
        spec.plainService(),
        spec.repeatable(),
        spec.streaming(),
        Math.max(1, millis));
  }

  private void awaitPendingRequests() {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_TIMEOUT_SECONDS);
    while (stats.pending() > 0 && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
    }
  }
}

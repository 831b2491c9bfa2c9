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

/** Sends a load with a broadcast's shape and prints its figures. */
@Command(
    name = "load",
    description =
        "Send seeded, open-loop load with a broadcast's shape; exit code 4 if an answer is wrong")
public final class LoadCommand extends CtlCommand {

  private static final int THREADS = 32;
  private static final int MAX_PENDING = 40_000;
  private static final long DRAIN_SECONDS = 30;
  private static final double NANOS_PER_SECOND = 1e9;

  @Option(name = "--workload", title = "FILE", description = "Mix of requests, JSON")
  @Required
  private String workload;

  @Option(name = "--seed", title = "N", description = "Seed of arrivals and requests")
  private long seed = 1;

  @Option(name = "--seconds", title = "N", description = "Length of the load")
  private double seconds = 30;

  @Option(name = "--rate", title = "N", description = "Requests a second in the quiet spell")
  private double rate = 20;

  @Option(
      name = "--peak-rate",
      title = "N",
      description = "Requests a second at the broadcast; as --rate if not given")
  private double peakRate = -1;

  @Option(
      name = "--broadcast-at",
      title = "S",
      description = "When the broadcast happens; a third of the load if not given")
  private double broadcastAt = -1;

  @Option(name = "--decay", title = "S", description = "Time in which the rise decays")
  private double decay = 10;

  @Option(name = "--stream-share", title = "X", description = "Share of streamed answers")
  private double streamShare;

  @Option(
      name = "--client-delay-ms",
      title = "MS",
      description = "Time between callers and instances, one way, to be added")
  private double clientDelayMillis;

  @Option(
      name = "--warm-up",
      title = "S",
      description = "Let the rate rise for this long, and leave these requests out of the figures")
  private double warmUp;

  @Option(name = "--data-centres", title = "A,B", description = "Data centres of callers, in turn")
  private String dataCentres = "";

  @Option(
      name = "--outcomes",
      title = "FILE",
      description = "Write a line for each request: outcome, workspace/identifier, kind")
  private String outcomesFile;

  @Option(name = "--verify", description = "Check that answers are those of the stand-ins")
  private boolean verify;

  private final LoadStats stats = LoadStats.create();
  private final List<AddressCache> addresses = new ArrayList<>();

  /** Creates the command; used by the command line parser. */
  public LoadCommand() {}

  @Override
  ExitCode execute(Output out) {
    Workload mix = Workload.read(Path.of(workload));
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    String run = "s" + seed + "-" + Long.toHexString(System.currentTimeMillis());
    RequestMaker maker = RequestMaker.create(mix, random, streamShare, run);
    ArrivalPlan plan = ArrivalPlan.create(shape(), random);
    try (HttpCaller http = newHttp(THREADS);
        PrintWriter outcomes = openOutcomes()) {
      for (String dataCentre : dataCentres.split(",")) {
        addresses.add(AddressCache.create(http, instances(), dataCentre.trim()));
      }
      send(CallerClient.create(http), plan, maker, outcomes);
      waitForRest();
    }
    if (out.isJson()) {
      out.json(stats.json());
    } else {
      stats.print(out);
    }
    return stats.wrong() == 0 ? ExitCode.OK : ExitCode.WRONG_ANSWER;
  }

  private ArrivalPlan.Shape shape() {
    return new ArrivalPlan.Shape(
        rate,
        peakRate < 0 ? rate : peakRate,
        broadcastAt < 0 ? seconds / 3 : broadcastAt,
        decay,
        seconds,
        warmUp);
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

  private void send(
      CallerClient client, ArrivalPlan plan, RequestMaker maker, PrintWriter outcomes) {
    long start = System.nanoTime();
    long nextProgress = 1;
    long index = 0;
    for (double at = plan.next(); at >= 0; at = plan.next()) {
      long due = start + (long) (at * NANOS_PER_SECOND);
      while (System.nanoTime() < due) {
        LockSupport.parkNanos(due - System.nanoTime());
      }
      if (at >= nextProgress) {
        System.err.println(stats.progress(nextProgress));
        nextProgress = (long) at + 1;
      }
      CallSpec spec = maker.next();
      if (stats.pending() < MAX_PENDING) {
        int place = (int) (index++ % addresses.size());
        sendOne(client, spec, due, place, outcomes, at >= warmUp);
      }
    }
  }

  private void sendOne(
      CallerClient client,
      CallSpec spec,
      long due,
      int place,
      PrintWriter outcomes,
      boolean counted) {
    stats.onSent();
    long extra = (long) (2 * clientDelayMillis * TimeUnit.MILLISECONDS.toNanos(1));
    CallSpec onWire = withDeadline(spec, spec.deadlineMillis() - (long) (2 * clientDelayMillis));
    client
        .call(onWire, addresses.get(place))
        .thenAccept(
            result -> {
              long nanos = System.nanoTime() - due + extra;
              boolean right = !verify || RequestMaker.isRight(spec, result);
              stats.onDone(spec, result, nanos, right, counted);
              synchronized (outcomes) {
                outcomes.println(
                    result.outcome()
                        + " "
                        + spec.workspace()
                        + "/"
                        + result.id()
                        + " "
                        + kindOf(spec));
              }
            });
  }

  private static String kindOf(CallSpec spec) {
    if (!spec.service()) {
      return "pipeline";
    }
    return spec.repeatable() ? "repeatable" : "once";
  }

  private static CallSpec withDeadline(CallSpec spec, long millis) {
    return new CallSpec(
        spec.path(),
        spec.workspace(),
        spec.key(),
        spec.suffix(),
        spec.body(),
        spec.service(),
        spec.repeatable(),
        spec.streaming(),
        Math.max(1, millis));
  }

  private void waitForRest() {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
    while (stats.pending() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
    }
  }
}

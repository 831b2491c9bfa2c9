package org.arbutusspar.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.CoordinatorOptions;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.flow.Policy;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.PrefixSigner;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.id.WorkspaceId;
import org.arbutusspar.core.request.Document;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.core.request.StageOutput;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the core's processor time for one whole request of a pipeline of four stages: one
 * admission, four selections of a replica, four stage responses and the final response. With JMH's
 * allocation profiler it also measures the memory that a request allocates.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class CoordinatorBenchmark {

  private static final long REQUESTS_PER_LOAD_REPORT = 1_000;

  /** Time by which the coordinator's clock advances for each event. */
  private static final long NANOS_PER_EVENT = 10_000;

  /** Number of replicas in the whole deployment; printed by JMH as a parameter. */
  @Param({"28", "700", "7700"})
  public int replicas;

  private final PrefixSigner signer = PrefixSigner.create(new byte[16]);
  private final Home home = new Home(InstanceId.of("entry-1"), 1);
  private List<ListedReplica> listed;
  private Coordinator coordinator;
  private RequestId requestId;
  private long now;
  private long requestCount;

  /** Creates the benchmark; used by JMH. */
  public CoordinatorBenchmark() {}

  /**
   * Creates the coordinator of one instance in a deployment of 31 pipelines and 1,200 workspaces,
   * with a load report of each replica.
   */
  @Setup
  public void setUp() {
    now = 1;
    coordinator =
        Coordinator.create(
            new CoordinatorOptions(home, DataCentre.of("dc0"), Policy.standard(), 1, now, 0));
    coordinator.handle(new Event.Configured(LargeDeployment.config(31, 1_200)), now);
    listed = LargeDeployment.replicas(replicas);
    coordinator.handle(new Event.Listed(listed), now);
    requestId = new RequestId(signer.issue(home, 0), "x");
    reportLoads();
  }

  /** Delivers a load report of each replica, since reports expire. */
  private void reportLoads() {
    for (ListedReplica each : listed) {
      coordinator.handle(
          new Event.Polled(each.service(), each.id(), new LoadReport(1, 0, false)), now);
    }
  }

  /**
   * Runs one request through its four stages.
   *
   * @return number of actions; returned so that the JIT compiler cannot remove the work
   */
  @Benchmark
  public int wholeRequest() {
    if (requestCount++ % REQUESTS_PER_LOAD_REPORT == 0) {
      reportLoads();
    }
    now += NANOS_PER_EVENT;
    RequestKey key = new RequestKey(WorkspaceId.of("w" + requestCount % 1_200), requestId);
    Request request =
        new Request(
            key,
            new Request.Target(Request.TargetKind.PIPELINE, ObjectName.of("p" + requestCount % 31)),
            RequestData.of("what costs a crown for the three kings", 64),
            true,
            false,
            now + TimeUnit.SECONDS.toNanos(6),
            1);
    List<Action> actions =
        coordinator.handle(new Event.Arrive(request, new CallerId(requestCount), false), now);
    int actionCount = actions.size();
    Optional<Action.Send> send = findSend(actions);
    while (send.isPresent()) {
      now += NANOS_PER_EVENT;
      actions = coordinator.handle(responseTo(send.get()), now);
      actionCount += actions.size();
      send = findSend(actions);
    }
    return actionCount;
  }

  private static Optional<Action.Send> findSend(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        return Optional.of(send);
      }
    }
    return Optional.empty();
  }

  private static Event responseTo(Action.Send send) {
    StageKind kind = send.service().kind();
    StageOutput output =
        switch (kind) {
          case ENCODE -> new StageOutput.Encoded(List.of(1.0));
          case RETRIEVE -> new StageOutput.Retrieved(List.of(new Document("d", "t", 1)));
          case RERANK -> new StageOutput.Ranked(List.of(0));
          case GENERATE -> new StageOutput.Generated("answer", true);
          case PLAIN -> new StageOutput.Plain("{}");
        };
    return new Event.Replied(send.attempt(), output, Optional.of(new LoadReport(1, 0, false)));
  }
}

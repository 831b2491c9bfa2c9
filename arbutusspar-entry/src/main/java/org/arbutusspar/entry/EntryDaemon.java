package org.arbutusspar.entry;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.CoordinatorOptions;
import org.arbutusspar.core.flow.CoordinatorStatus;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.flow.Policy;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.PrefixSigner;
import org.arbutusspar.core.member.AddressBook;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.member.MemberStatus;
import org.arbutusspar.core.member.Membership;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.http.HttpHost;
import org.arbutusspar.io.platform.HttpPlatformList;
import org.arbutusspar.io.platform.HttpPlatformLog;
import org.arbutusspar.io.upstream.UpstreamClient;

/**
 * One entry instance. Connects the coordinator of the core to the HTTP APIs, links, upstream client
 * and platform client, and shuts them down without failing requests.
 */
public final class EntryDaemon implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);
  private static final int CALLER_API_THREADS = 24;
  private static final int UPSTREAM_THREADS = 16;
  private static final int PLATFORM_THREADS = 4;
  private static final int EXECUTOR_THREADS = 4;
  private static final int NOT_FOUND = 404;

  /** Maximum time that other threads wait for a result from the decision thread. */
  private static final long TASK_TIMEOUT_MILLIS = 5_000;

  /** Interval at which a draining instance checks whether requests are left. */
  private static final long DRAIN_POLL_MILLIS = 20;

  /** Maximum time that a draining instance waits for its requests to end. */
  private static final long MAX_DRAIN_MILLIS = 180_000;

  /** Time left for the last heartbeats to reach the peers before the links close. */
  private static final long FINAL_GOSSIP_MILLIS = 200;

  private final DaemonSettings settings;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final EntryMetrics metrics = EntryMetrics.create();
  private final KeyedExecutor executor = KeyedExecutor.start(EXECUTOR_THREADS);
  private final HttpCaller platformClient;
  private final UpstreamClient upstreamClient;
  private final DecisionRuntime runtime;
  private final DecisionLoop loop;
  private final ConfigSync configSync;
  private final PeerLinks peers;
  private final ListWatch listWatch;
  private final CallerApi callerApi;
  private final OperatorApi operatorApi;
  private HttpHost host;
  private volatile boolean started;

  private EntryDaemon(DaemonSettings settings) {
    this.settings = settings;
    // Serves as the incarnation number and as the seed of the random number generators.
    long seed = new SecureRandom().nextLong();
    Home home = new Home(settings.instance(), seed);
    long startMillis = System.currentTimeMillis();
    runtime =
        DecisionRuntime.create(
            Coordinator.create(
                new CoordinatorOptions(
                    home,
                    settings.dataCentre(),
                    Policy.standard(),
                    seed,
                    System.nanoTime(),
                    startMillis)),
            metrics,
            executor);
    loop = DecisionLoop.start(this::onTick);
    String host = settings.callerEndpoint().host();
    platformClient = HttpCaller.start("platform", host, PLATFORM_THREADS);
    upstreamClient =
        UpstreamClient.create(
            HttpCaller.start("upstream", host, UPSTREAM_THREADS),
            event -> loop.post(() -> runtime.handle(event)));
    configSync =
        ConfigSync.create(
            HttpPlatformLog.create(platformClient, settings.logUrl()), loop, runtime, timer);
    MemberRecord self =
        new MemberRecord(
            home,
            startMillis,
            settings.callerEndpoint(),
            settings.linkEndpoint(),
            settings.dataCentre(),
            MemberStatus.LIVE,
            1);
    AddressBook addresses = AddressBook.create(seed);
    peers = PeerLinks.create(Membership.create(self), addresses, runtime, loop, configSync);
    listWatch =
        ListWatch.create(
            HttpPlatformList.create(platformClient, settings.listUrl()),
            loop,
            runtime,
            peers,
            timer);
    PrefixSigner signer = PrefixSigner.create(settings.secret().bytes());
    callerApi = CallerApi.create(runtime, loop, peers, addresses, signer);
    operatorApi =
        OperatorApi.create(
            settings.operatorKeySha256(),
            runtime,
            loop,
            peers,
            configSync,
            metrics,
            this::notReadyReason);
  }

  /**
   * Starts an instance.
   *
   * @param settings its settings, not null
   * @return the instance, to be closed by the caller
   * @throws org.arbutusspar.io.StepException if it cannot listen on one of its endpoints
   */
  public static EntryDaemon start(DaemonSettings settings) {
    EntryDaemon daemon = new EntryDaemon(Objects.requireNonNull(settings, "settings"));
    try {
      daemon.open();
      return daemon;
    } catch (RuntimeException e) {
      daemon.close();
      throw e;
    }
  }

  private void open() {
    runtime.connect(upstreamClient, peers);
    peers.start(settings.secret());
    started = true;
    configSync.start();
    listWatch.start();
    registerGauges();
    host =
        HttpHost.start(
            "callers", List.of(settings.callerEndpoint()), CALLER_API_THREADS, this::handle);
    LOG.info(
        KeyValueLine.event("started")
            .with("instance", settings.instance())
            .with("dataCentre", settings.dataCentre())
            .with("callers", settings.callerEndpoint())
            .with("links", settings.linkEndpoint()));
  }

  private void registerGauges() {
    metrics.gauge("arbutusspar_revision", "Configuration revision", configSync::revision);
    metrics.gauge("arbutusspar_task_failures", "Failed tasks", loop::failedTasks);
    metrics.gauge("arbutusspar_active_requests", "Requests in progress", () -> status().active());
    metrics.gauge("arbutusspar_queued_requests", "Requests that wait", () -> status().queued());
  }

  /** Returns the coordinator's status; for threads other than the decision thread. */
  private CoordinatorStatus status() {
    return callOnLoop(() -> runtime.coordinator().status());
  }

  private void handle(Exchange exchange) {
    if (!callerApi.handle(exchange) && !operatorApi.handle(exchange)) {
      exchange.reply(NOT_FOUND, Map.of(), "{\"error\":\"no such path\"}");
    }
  }

  /** Runs on the decision thread, which ticks before the links exist; such ticks are ignored. */
  private void onTick() {
    if (!started) {
      return;
    }
    long nowNanos = System.nanoTime();
    runtime.handle(new Event.Tick());
    peers.onTick(nowNanos);
    configSync.onTick(liveRank(), nowNanos);
  }

  /** Returns the zero-based position of this instance among the live ones, in name order. */
  private int liveRank() {
    return (int)
        peers.membership().serving().stream()
            .filter(m -> m.status() == MemberStatus.LIVE)
            .filter(m -> m.instance().compareTo(settings.instance()) < 0)
            .count();
  }

  private String notReadyReason() {
    String reason = configSync.notReadyReason();
    return reason.isEmpty() && !listWatch.hasRead() ? "the list was not read yet" : reason;
  }

  /**
   * Prepares a shutdown without failing requests. The instance leaves the membership, so that
   * callers no longer get its address, but accepts requests while callers may have it cached. Then
   * it rejects new requests and waits until all others have ended, at most {@link
   * #MAX_DRAIN_MILLIS}. Blocks until then; {@link #close} releases the resources.
   */
  public void drain() {
    LOG.info(KeyValueLine.event("leaving").with("instance", settings.instance()));
    loop.post(peers::leave);
    sleep(settings.leaveMillis());
    loop.post(() -> runtime.handle(new Event.Drain()));
    long drainEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS);
    while (System.nanoTime() < drainEndNanos && isBusy()) {
      sleep(DRAIN_POLL_MILLIS);
    }
    loop.post(peers::stop);
    sleep(FINAL_GOSSIP_MILLIS);
    LOG.info(KeyValueLine.event("stopped").with("instance", settings.instance()));
  }

  private boolean isBusy() {
    return callOnLoop(
        () -> runtime.coordinator().status().active() > 0 || runtime.waitingCallers() > 0);
  }

  /**
   * Runs a task on the decision thread and returns its result. Must not be called on that thread,
   * because it waits for the result.
   */
  private <T> T callOnLoop(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(() -> result.complete(task.get()));
    try {
      return result.get(TASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("decision thread did not complete the task", e);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (host != null) {
      host.close();
    }
    loop.close();
    if (started) {
      peers.close();
    }
    executor.close();
    upstreamClient.close();
    platformClient.close();
    timer.shutdownNow();
  }
}

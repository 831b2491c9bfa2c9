package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs three instances under load while faults overlap in random order: instances that stop or are
 * closed and start again, a store that returns from a copy, engines that announce their shutdown or
 * a pause or state a limit on their request rate, prompts that crash engines, a repeated request
 * that does so too, withdrawn keys, engines that are cold after their start, and a data centre that
 * is evacuated and returns cold. More seeds: -Dsoak.first=1 -Dsoak.seeds=50
 */
class OverlappingFaultsSoakTest extends GatewayRig {

  private static final long RUN_MILLIS = 12_000;
  private static final int INSTANCES = 3;
  private static final int ENGINES = 4;
  private static final int PLAIN_REPLICAS = 2;
  private static final long RESTART_MILLIS = 400;
  private static final String CRASHING_PART = "bad";
  private static final String CRASHING_PATH = "/n/bad";
  private static final int MAX_REPEAT_PAUSE_MILLIS = 600;
  private static final int FIRST_VERSION = 2;

  /** Bounds of the users' pages for the first sites. */
  private static final long DRAIN_NANOS = 2_000_000_000L;

  private static final long STABILITY_NANOS = 3_000_000_000L;
  private static final long APPLY_NANOS = 2_000_000_000L;
  private static final long UNDER_WAY_NANOS = 500_000_000L;
  private static final long PAUSE_NANOS = 1_000_000_000L;
  private static final int CRASHES_TO_DETECT = 5;
  private static final int CRASHES_TO_DETECT_REQUEST = 3;
  private static final int MAX_LATE_REQUESTS = 3;
  private static final int MAX_LIMIT_DELAY_MILLIS = 4_000;
  private static final String EVACUATED = "b";
  private static final int MAX_EVACUATION_DELAY_MILLIS = 3_000;
  private static final int MIN_EVACUATION_MILLIS = 6_000;
  private static final int EVACUATION_SPREAD_MILLIS = 2_000;
  private static final int WARM_UP_SECONDS = 2;
  private static final double COLD_PER_SECOND = 5;
  private static final double COLD_ALLOWED = 1.5 * COLD_PER_SECOND + 5;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final List<Double> LIMITS_PER_SECOND = List.of(0.5, 1.0, 1.7, 5.0, 20.0);

  private final List<Engine> engines = new CopyOnWriteArrayList<>();
  private final List<Engine> formerEngines = new CopyOnWriteArrayList<>();
  private final Map<Integer, Instance> instances = new ConcurrentHashMap<>();
  private final List<Long> crashTimes = new CopyOnWriteArrayList<>();

  /** Times of the crashes under the repeated request. */
  private final List<Long> repeatedCrashTimes = new CopyOnWriteArrayList<>();

  private final Set<String> rejectedIds = ConcurrentHashMap.newKeySet();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger started = new AtomicInteger();
  private final Map<Integer, Long> replacedAt = new ConcurrentHashMap<>();

  /** Start and end of each outage of the store. */
  private final List<long[]> outages = new CopyOnWriteArrayList<>();

  private final List<ReplicaStandin> plainReplicas = new ArrayList<>();

  /** Replicas that state a limit, in requests a second. */
  private final Map<ReplicaStandin, Double> limitsPerSecond = new ConcurrentHashMap<>();

  /** Start and end of the evacuation, as acknowledged by the store. */
  private final long[] evacuation = {Long.MAX_VALUE, Long.MAX_VALUE};

  private volatile boolean evacuating;
  private volatile int version = FIRST_VERSION;
  private volatile boolean returning;
  private volatile boolean trafficStarted;
  private volatile boolean stopped;
  private Random random;

  /** An engine with the times of its pauses and of its shutdown, 0 before that. */
  private static final class Engine {
    private final String id;
    private final ReplicaStandin standin;
    private final List<Long> pauses = new CopyOnWriteArrayList<>();
    private volatile boolean pausing;
    private volatile long leavingSince;
    private final String dataCentre;

    /** When it was first listed; cold from then on, except before the traffic. */
    private final long listedAt = System.nanoTime();

    private final boolean coldAtStart;

    private Engine(String id, ReplicaStandin standin, String dataCentre, boolean coldAtStart) {
      this.id = id;
      this.standin = standin;
      this.dataCentre = dataCentre;
      this.coldAtStart = coldAtStart;
    }

    private String listEntry() {
      long leftNanos = WARM_UP_SECONDS * SECOND_NANOS - (System.nanoTime() - listedAt);
      long leftMillis = coldAtStart ? Math.max(0, leftNanos / 1_000_000) : 0;
      return standin.listEntry(SampleTraffic.ENGINE, dataCentre, 1, leftMillis);
    }
  }

  private static String configuration(int version) {
    return SampleTraffic.configuration(version, "key" + version, WARM_UP_SECONDS, COLD_PER_SECOND);
  }

  static Stream<Integer> seeds() {
    int first = Integer.getInteger("soak.first", 1);
    return IntStream.range(first, first + Integer.getInteger("soak.seeds", 3)).boxed();
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHoldUnderOverlappingFaults(int seed) throws Exception {
    random = new Random(seed);
    store.putConfiguration(configuration(version));
    store.takeCopy();
    for (int i = 0; i < INSTANCES; i++) {
      instances.put(i, start(i));
    }
    for (int i = 0; i < ENGINES; i++) {
      startEngine();
    }
    for (int i = 0; i < PLAIN_REPLICAS; i++) {
      plainReplicas.add(
          closeAfterTest(ReplicaStandin.start("p-" + i, freeEndpoint(FIRST_ADDRESS))));
    }
    store.putReplica("i-1", "");
    await(() -> instances.values().stream().allMatch(i -> isServed(i)), 15_000);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Random clientRandom = new Random(seed * 100L + i);
      threads.add(new Thread(() -> sendUntilStopped(clientRandom)));
    }
    // Draws of their own, so that the other faults and requests of a seed stay the same.
    for (int i = 1; i <= 6; i++) {
      Random clientRandom = new Random(-seed * 100L - i);
      threads.add(new Thread(() -> sendPlainUntilStopped(clientRandom)));
    }
    Random repeatRandom = new Random(seed * 100L + 99);
    threads.add(new Thread(() -> repeatCrashingRequestUntilStopped(repeatRandom)));
    threads.add(new Thread(this::writeHeartbeatsUntilStopped));
    threads.add(new Thread(() -> evacuateOnce(new Random(31L * seed + 7))));
    trafficStarted = true;
    threads.forEach(Thread::start);
    long start = System.nanoTime();
    Random limitRandom = new Random(~(long) seed);
    long limitDelay = limitRandom.nextInt(MAX_LIMIT_DELAY_MILLIS) * 1_000_000L;
    boolean limited = false;
    long end = start + RUN_MILLIS * 1_000_000;
    while (System.nanoTime() - end < 0) {
      injectFault();
      if (!limited && System.nanoTime() - start > limitDelay) {
        limited = true;
        limitReplicas(limitRandom);
      }
      sleep(200 + random.nextInt(500));
    }
    await(() -> instances.values().stream().allMatch(i -> isReady(i) && isServed(i)), 15_000);
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    check(seed);
  }

  private Instance start(int number) throws IOException {
    String address = "127.0.0." + (number + 1);
    List<Endpoint> seeds = instances.values().stream().map(i -> i.settings().links()).toList();
    return startInstance("e-" + (number + 1), address, seeds, 2_000);
  }

  private void startEngine() {
    try {
      String id = "c-" + started.incrementAndGet();
      ReplicaStandin standin =
          closeAfterTest(ReplicaStandin.start(id, freeEndpoint(FIRST_ADDRESS)));
      String dataCentre = this.started.get() % 2 == 0 ? EVACUATED : "a";
      Engine started = new Engine(id, standin, dataCentre, trafficStarted);
      standin.setBehaviour(Behaviour.STREAM);
      standin.crashOn(CRASHING_PART, () -> replaceCrashed(started, crashTimes));
      standin.crashOnPath(CRASHING_PATH, () -> replaceCrashed(started, repeatedCrashTimes));
      engines.add(started);
      store.putReplica(id, started.listEntry());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void replaceCrashed(Engine engine, List<Long> times) {
    times.add(System.nanoTime());
    engine.standin.close();
    replace(engine, RESTART_MILLIS);
  }

  private void replace(Engine engine, long delayMillis) {
    if (engines.remove(engine)) {
      formerEngines.add(engine);
      sleep(delayMillis);
      if (!stopped) {
        startEngine();
      }
    }
  }

  private void injectFault() throws Exception {
    switch (random.nextInt(6)) {
      case 0 -> restartInstance();
      case 1 -> returnStore();
      case 2 -> anyEngine().ifPresent(this::leave);
      case 3 -> anyEngine().ifPresent(this::pause);
      case 4 -> replaceKey();
      default -> store.takeCopy();
    }
  }

  /** Returns an engine that has neither crashed nor left, or empty if all have. */
  private Optional<Engine> anyEngine() {
    List<Engine> current = List.copyOf(engines);
    return current.isEmpty()
        ? Optional.empty()
        : Optional.of(current.get(random.nextInt(current.size())));
  }

  /** Makes some engines and a plain replica state a limit until the end of the run. */
  private void limitReplicas(Random limitRandom) {
    limit(plainReplicas.get(0), limitRandom);
    engines.stream()
        .filter(each -> limitRandom.nextBoolean())
        .forEach(each -> limit(each.standin, limitRandom));
  }

  private void limit(ReplicaStandin standin, Random limitRandom) {
    double perSecond = LIMITS_PER_SECOND.get(limitRandom.nextInt(LIMITS_PER_SECOND.size()));
    limitsPerSecond.put(standin, perSecond);
    standin.stateLimit(String.valueOf(perSecond));
  }

  private void restartInstance() throws Exception {
    if (returning) {
      // An instance that starts before the operator has written again has no memory.
      return;
    }
    int number = random.nextInt(INSTANCES);
    Instance former = instances.get(number);
    if (random.nextBoolean()) {
      former.gateway().leave("test");
      former.gateway().await();
    }
    former.gateway().close();
    // A restart excuses the instance from limits that it knew before.
    String address = former.settings().ipAddress();
    limitsPerSecond.keySet().forEach(standin -> standin.limitStatedNanos().remove(address));
    instances.put(number, start(number));
  }

  private void returnStore() {
    if (returning) {
      return;
    }
    returning = true;
    long[] outage = {System.nanoTime(), Long.MAX_VALUE};
    outages.add(outage);
    store.setFault(StoreStandin.Fault.DOWN);
    inBackground(
        () -> {
          sleep(300 + version * 37 % 600);
          store.returnFromCopy();
          store.setFault(StoreStandin.Fault.NONE);
          outage[1] = System.nanoTime();
          sleep(300);
          store.putConfiguration(configuration(version));
          writeEvacuation();
          returning = false;
        });
  }

  private void leave(Engine engine) {
    if (engine.leavingSince != 0) {
      return;
    }
    engine.standin.announceLeaving(true);
    engine.leavingSince = System.nanoTime();
    inBackground(
        () -> {
          sleep(1_000);
          replace(engine, 0);
        });
  }

  private void pause(Engine engine) {
    if (engine.pausing) {
      return;
    }
    engine.pausing = true;
    engine.pauses.add(System.nanoTime());
    engine.standin.rejectWithBackoff("1");
    inBackground(
        () -> {
          sleep(1_000);
          engine.standin.rejectWithBackoff("");
          engine.pausing = false;
        });
  }

  private void replaceKey() {
    if (!returning) {
      replacedAt.put(version, System.nanoTime());
      int next = version + 1;
      store.putConfiguration(configuration(next));
      version = next;
    }
  }

  /** Evacuates a data centre for a time; the operator writes nothing while the store returns. */
  private void evacuateOnce(Random evacuationRandom) {
    sleep(evacuationRandom.nextInt(MAX_EVACUATION_DELAY_MILLIS));
    await(() -> !returning);
    evacuating = true;
    writeEvacuation();
    evacuation[0] = System.nanoTime();
    sleep(MIN_EVACUATION_MILLIS + evacuationRandom.nextInt(EVACUATION_SPREAD_MILLIS));
    await(() -> !returning);
    evacuation[1] = System.nanoTime();
    evacuating = false;
    writeEvacuation();
  }

  private void writeEvacuation() {
    if (evacuating) {
      store.putEvacuation(EVACUATED);
    } else {
      store.removeEvacuation(EVACUATED);
    }
  }

  /** Checks that nothing arrives during the evacuation, and what cold engines get in a second. */
  private void checkEvacuationAndWarmUp(Engine engine) {
    List<Long> arrivals = engine.standin.receivedNanos();
    if (engine.dataCentre.equals(EVACUATED)) {
      long late =
          arrivals.stream()
              .filter(t -> t - evacuation[0] > APPLY_NANOS + STABILITY_NANOS)
              .filter(t -> t - evacuation[1] < 0 && !isCoreUnstable(t))
              .count();
      if (late > 0) {
        violations.add(engine.id + " got " + late + " requests while it was evacuated");
      }
      checkCold(engine, arrivals, evacuation[1]);
    }
    if (engine.coldAtStart) {
      checkCold(engine, arrivals, engine.listedAt);
    }
  }

  private void checkCold(Engine engine, List<Long> arrivals, long since) {
    List<Long> whileCold =
        arrivals.stream()
            .filter(t -> t - since >= 0 && t - since < WARM_UP_SECONDS * SECOND_NANOS)
            .sorted()
            .toList();
    for (long first : whileCold) {
      long inSecond =
          whileCold.stream().filter(t -> t - first >= 0 && t - first < SECOND_NANOS).count();
      if (inSecond > COLD_ALLOWED) {
        violations.add(engine.id + " got " + inSecond + " requests in a second while cold");
        return;
      }
    }
  }

  private static void inBackground(Runnable task) {
    Thread thread = new Thread(task, "fault");
    thread.setDaemon(true);
    thread.start();
  }

  /** Replicas write their entries all the time; entries of those that left are removed. */
  private void writeHeartbeatsUntilStopped() {
    while (!stopped) {
      store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
      engines.forEach(e -> store.putReplica(e.id, e.listEntry()));
      formerEngines.forEach(e -> store.putReplica(e.id, ""));
      for (int i = 0; i < PLAIN_REPLICAS; i++) {
        store.putReplica("p-" + i, plainReplicas.get(i).listEntry(SampleTraffic.PLAIN, false));
      }
      sleep(300);
    }
  }

  private void sendUntilStopped(Random clientRandom) {
    while (!stopped) {
      Instance instance = instances.get(clientRandom.nextInt(INSTANCES));
      int keyVersion =
          clientRandom.nextInt(8) == 0 ? Math.max(FIRST_VERSION, version - 1) : version;
      String part = clientRandom.nextInt(25) == 0 ? CRASHING_PART : "good" + sent.get() % 9;
      String target = List.of("/n/x", "/p/x", "/s/x").get(clientRandom.nextInt(3));
      request(instance, target, part, keyVersion);
      sleep(clientRandom.nextInt(40));
    }
  }

  private void sendPlainUntilStopped(Random clientRandom) {
    while (!stopped) {
      Instance instance = instances.get(clientRandom.nextInt(INSTANCES));
      request(instance, "/b/x", "good" + sent.get() % 9, version);
      sleep(clientRandom.nextInt(100));
    }
  }

  /** Sends the same request again and again, each time to any instance. */
  private void repeatCrashingRequestUntilStopped(Random clientRandom) {
    while (!stopped) {
      Instance instance = instances.get(clientRandom.nextInt(INSTANCES));
      send(instance, CRASHING_PATH, "common:8,again:2", version);
      sleep(clientRandom.nextInt(MAX_REPEAT_PAUSE_MILLIS));
    }
  }

  private boolean isServed(Instance instance) {
    return request(instance, "/p/x", "good", version) == 200;
  }

  /** Sends a request with a prompt of its own that contains a part. */
  private int request(Instance instance, String target, String part, int keyVersion) {
    return send(instance, target, "common:8," + part + ":4,q" + sent.get() + ":2", keyVersion);
  }

  /** Sends a request and checks its response; returns the status, 0 if there is none. */
  private int send(Instance instance, String target, String prompt, int keyVersion) {
    String id = "r" + sent.incrementAndGet();
    String key = "key" + keyVersion;
    Long withdrawnAt = replacedAt.get(keyVersion);
    boolean withdrawn =
        withdrawnAt != null && System.nanoTime() - withdrawnAt > APPLY_NANOS + STABILITY_NANOS;
    RawCall call = SampleTraffic.request(instance.settings().clients(), target, id, key);
    RawReply reply =
        client
            .fetch("test", SampleTraffic.withPrompt(call, prompt))
            .exceptionally(failure -> null)
            .join();
    if (reply == null) {
      return 0;
    }
    if (reply.status() == 503 || reply.status() == 429) {
      rejectedIds.add(id);
    }
    if (reply.status() == 200 && withdrawn) {
      violations.add(id + " was served with key " + key + ", withdrawn, version " + version);
    }
    boolean signed = reply.field("X-Response-Signature").orElse("").endsWith("." + id);
    if (reply.status() == 200 && !signed) {
      violations.add(id + " got the response of another request");
    }
    return reply.status();
  }

  /** Each instance may send a request that starts its pause, and two in the pause. */
  private void checkPause(Engine engine, long start) {
    long inPause =
        engine.standin.receivedNanos().stream()
            .filter(t -> t - start > UNDER_WAY_NANOS && t - start < PAUSE_NANOS)
            .count();
    if (inPause > 3 * INSTANCES) {
      violations.add(engine.id + " got " + inPause + " requests in a pause");
    }
  }

  private void checkLimit(ReplicaStandin standin, double perSecond) {
    int most = RateLimitRule.mostInWindow(standin);
    double allowed = RateLimitRule.allowed(perSecond);
    if (most > allowed) {
      violations.add(most + " requests in 4 s to a limited replica, allowed " + allowed);
    }
  }

  /**
   * Returns whether the store was away or has returned a short time ago. The users' pages count a
   * replica as removed only for instances that reach a stable store, and an instance that has
   * started since does not know what the copy lacks.
   */
  private boolean isCoreUnstable(long time) {
    return outages.stream()
        .anyMatch(
            outage ->
                time - outage[0] > 0
                    && (outage[1] == Long.MAX_VALUE || time - outage[1] < STABILITY_NANOS));
  }

  private void check(int seed) {
    Map<String, Integer> runs = new HashMap<>();
    Set<Engine> all = new HashSet<>(engines);
    all.addAll(formerEngines);
    for (Engine each : all) {
      each.standin
          .executedHeaders()
          .forEach(fields -> runs.merge(fields.get("X-Attempt-Id"), 1, Integer::sum));
      long since = each.leavingSince;
      long late =
          each.standin.receivedNanos().stream()
              .filter(t -> since != 0 && t - since > DRAIN_NANOS + STABILITY_NANOS)
              .filter(t -> !isCoreUnstable(t))
              .count();
      if (late > 0) {
        violations.add(each.id + " got " + late + " requests after it had left");
      }
      each.pauses.forEach(start -> checkPause(each, start));
      checkEvacuationAndWarmUp(each);
    }
    limitsPerSecond.forEach(this::checkLimit);
    rejectedIds.stream()
        .filter(runs::containsKey)
        .forEach(id -> violations.add(id + " was rejected as not run, and has run"));
    checkCrashes(crashTimes, CRASHES_TO_DETECT, "under a prompt part");
    checkCrashes(repeatedCrashTimes, CRASHES_TO_DETECT_REQUEST, "under a repeated request");
    assertEquals(List.of(), violations, "seed " + seed);
  }

  private void checkCrashes(List<Long> times, int crashesToDetect, String cause) {
    long late =
        times.size() < crashesToDetect
            ? 0
            : times.stream()
                .filter(t -> t - times.get(crashesToDetect - 1) > STABILITY_NANOS)
                .count();
    if (late > MAX_LATE_REQUESTS) {
      violations.add(late + " of " + times.size() + " crashes " + cause + " were late");
    }
  }
}

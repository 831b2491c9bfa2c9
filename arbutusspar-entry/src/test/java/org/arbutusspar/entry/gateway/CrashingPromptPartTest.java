package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/**
 * Tests instances against engines that crash when they start a response to a certain prompt part. A
 * crashed engine is replaced by another one after a short time.
 */
class CrashingPromptPartTest extends GatewayRig {

  private static final int ENGINES = 4;
  private static final String CRASHING_PART = "bad";

  /** Number of crashes after which the part should be known, and the time to react to them. */
  private static final int CRASHES_TO_DETECT = 5;

  private static final long REACTION_NANOS = 3_000_000_000L;

  /** Maximum number of requests with the part that reach an engine after that time. */
  private static final int MAX_LATE_REQUESTS = 3;

  private final AtomicInteger sent = new AtomicInteger();
  private CrashingReplicas engines;

  /** Replaces the engine that does not crash by several that do. */
  private void replaceEngine() {
    engines =
        CrashingReplicas.start(
            this,
            SampleTraffic.ENGINE,
            Behaviour.STREAM,
            ENGINES,
            (replica, onCrash) -> replica.crashOn(CRASHING_PART, onCrash));
    store.putReplica("i-1", "");
  }

  private boolean isServedByCrashingEngine(Instance instance) {
    return sendPrompt(instance, "good")
        .handle(
            (reply, failure) ->
                failure == null
                    && reply
                        .field("X-Response-Signature")
                        .orElse("")
                        .startsWith(CrashingReplicas.ID_PREFIX))
        .join();
  }

  /** All instances forgot the part in a restart, and more engines crashed. */
  @Test
  void blockedPartStaysBlockedAfterAllInstancesRestart() throws IOException {
    Instance first = startReadyInstance();
    replaceEngine();
    await(() -> isServedByCrashingEngine(first));
    await(() -> isBlocked(first), 20_000);
    first.gateway().close();
    final int crashes = engines.crashTimes().size();
    Instance second = startInstance("e-2", SECOND_ADDRESS, List.of());
    await(() -> isReady(second));
    await(() -> isServedByCrashingEngine(second));
    for (int i = 0; i < 5; i++) {
      assertTrue(isBlocked(second));
    }
    assertEquals(crashes, engines.crashTimes().size());
  }

  /** Sends a request whose prompt has the first part in common with all others. */
  private CompletableFuture<RawReply> sendPrompt(Instance instance, String part) {
    int number = sent.incrementAndGet();
    RawCall call =
        SampleTraffic.request(instance.settings().clients(), "/s/x", "r" + number, "key");
    String prompt = "common:8," + part + ":4,own" + number + ":2";
    return client.fetch("test", SampleTraffic.withPrompt(call, prompt));
  }

  private static int status(CompletableFuture<RawReply> reply) {
    return reply.handle((r, failure) -> failure == null ? r.status() : 0).join();
  }

  /** Returns whether an instance rejects a request with the part until the end of a block. */
  private boolean isBlocked(Instance instance) {
    return sendPrompt(instance, CRASHING_PART)
        .handle(
            (reply, failure) ->
                failure == null
                    && reply.status() == 503
                    && Double.parseDouble(reply.field("Retry-After").orElseThrow()) > 60)
        .join();
  }

  /** Requests with one prompt part crashed engine after engine, since only engines were judged. */
  @Test
  void promptPartThatCrashesEnginesIsNotSentOn() throws IOException {
    Instance first = startReadyInstance();
    final List<Instance> instances =
        List.of(first, startInstance("e-2", SECOND_ADDRESS, List.of(first.settings().links())));
    replaceEngine();
    List<Long> crashTimes = engines.crashTimes();
    await(() -> instances.stream().allMatch(this::isServedByCrashingEngine));
    long end = Long.MAX_VALUE;
    List<CompletableFuture<RawReply>> replies = new ArrayList<>();
    for (int i = 0; i < 400 && System.nanoTime() < end; i++) {
      replies.add(sendPrompt(instances.get(i % 2), CRASHING_PART));
      replies.add(sendPrompt(instances.get(i % 2), "good" + i % 5));
      sleep(60);
      if (end == Long.MAX_VALUE && crashTimes.size() >= CRASHES_TO_DETECT) {
        end = crashTimes.get(CRASHES_TO_DETECT - 1) + 2 * REACTION_NANOS;
      } else if (end == Long.MAX_VALUE && i == 100) {
        break;
      }
    }
    replies.forEach(CrashingPromptPartTest::status);
    long late =
        crashTimes.size() < CRASHES_TO_DETECT
            ? 0
            : crashTimes.stream()
                .filter(t -> t - crashTimes.get(CRASHES_TO_DETECT - 1) > REACTION_NANOS)
                .count();
    assertTrue(late <= MAX_LATE_REQUESTS, late + " of " + crashTimes.size() + " crashes were late");
    await(() -> instances.stream().allMatch(this::isServedByCrashingEngine));
    instances.forEach(instance -> assertTrue(isBlocked(instance)));
  }
}

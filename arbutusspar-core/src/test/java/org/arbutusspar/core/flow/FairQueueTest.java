package org.arbutusspar.core.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.config.Samples;
import org.arbutusspar.core.id.WorkspaceId;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link FairQueue}. They guard against a workspace that starves others or gains credit
 * while idle, and against entries that are lost or polled twice when others are removed in between.
 */
class FairQueueTest {

  private final CoordinatorHarness instance = CoordinatorHarness.ready();
  private final FairQueue queue = FairQueue.create();
  private int nextSuffix;

  private QueueEntry add(String workspace, int share, long deadlineMillis, double millis) {
    ActiveRequest request =
        ActiveRequest.create(
            instance.pipelineRequest(instance.key(workspace, "n" + nextSuffix++), deadlineMillis),
            Samples.pipeline("chat").stages(),
            new WorkspaceShare(WorkspaceId.of(workspace), share));
    QueueEntry entry = QueueEntry.create(request, request.workspace(), millis);
    queue.add(entry);
    return entry;
  }

  @Test
  void earliestDeadlineOfWorkspaceIsPolledFirst() {
    final QueueEntry laterDeadline = add("w", 1, 900, 10);
    final QueueEntry earlierDeadline = add("w", 1, 100, 10);
    assertEquals(earlierDeadline, queue.poll().orElseThrow());
    assertEquals(laterDeadline, queue.poll().orElseThrow());
    assertTrue(queue.poll().isEmpty());
  }

  @Test
  void largeWorkspaceDoesNotStarveSmallOne() {
    for (int i = 0; i < 1_000; i++) {
      add("big", 4, 1_000, 10);
    }
    for (int i = 0; i < 10; i++) {
      add("small", 1, 5_000, 10);
    }
    int smallCount = 0;
    for (int i = 0; i < 50; i++) {
      String name = queue.poll().orElseThrow().workspace().id().value();
      smallCount += name.equals("small") ? 1 : 0;
    }
    assertEquals(10, smallCount, "one of five polls goes to the workspace with one of five shares");
  }

  @Test
  void idleWorkspaceGainsNoCreditWhileOthersUseItsShare() {
    for (int i = 0; i < 100; i++) {
      add("big", 1, 1_000, 10);
    }
    for (int i = 0; i < 50; i++) {
      queue.poll();
    }
    for (int i = 0; i < 50; i++) {
      add("small", 1, 1_000, 10);
    }
    int smallCount = 0;
    for (int i = 0; i < 20; i++) {
      smallCount += queue.poll().orElseThrow().workspace().id().value().equals("small") ? 1 : 0;
    }
    assertTrue(
        smallCount >= 9 && smallCount <= 11, "polls of the workspace that was idle: " + smallCount);
  }

  @Property(tries = 200, seed = "5")
  void sizeAndEntriesMatchReferenceList(@ForAll long seed) {
    UniformRandomProvider random = Policy.newRandom(seed);
    List<QueueEntry> queued = new ArrayList<>();
    Map<QueueEntry, Boolean> polled = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      int operation = random.nextInt(4);
      if (operation < 2) {
        queued.add(add("w" + random.nextInt(5), 1 + random.nextInt(3), 1 + i, 5));
      } else if (operation == 2 && !queued.isEmpty()) {
        QueueEntry removed = queued.remove(random.nextInt(queued.size()));
        queue.remove(removed);
        queue.remove(removed);
      } else {
        queue
            .poll()
            .ifPresent(
                entry -> {
                  assertTrue(queued.remove(entry), "polled an entry that is not in the queue");
                  assertEquals(null, polled.put(entry, true), "polled an entry twice");
                });
      }
      assertEquals(queued.size(), queue.size());
    }
    while (queue.size() > 0) {
      queue.poll().orElseThrow();
    }
  }
}

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

class FairQueueTest {

  private final FakeWorld world = FakeWorld.ready();
  private final FairQueue queue = FairQueue.create();
  private int next;

  private QueueEntry add(String workspace, int share, long deadlineMillis, double millis) {
    ActiveRequest request =
        ActiveRequest.create(
            world.pipelineRequest(world.key(workspace, "n" + next++), deadlineMillis),
            Samples.pipeline("chat").stages(),
            new WorkspaceShare(WorkspaceId.of(workspace), share));
    QueueEntry entry = QueueEntry.create(request, request.workspace(), millis);
    queue.add(entry);
    return entry;
  }

  @Test
  void withinOneWorkspaceTheEarliestDeadlineGoesFirst() {
    final QueueEntry late = add("w", 1, 900, 10);
    final QueueEntry early = add("w", 1, 100, 10);
    assertEquals(early, queue.poll().orElseThrow());
    assertEquals(late, queue.poll().orElseThrow());
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
    int small = 0;
    for (int i = 0; i < 50; i++) {
      String name = queue.poll().orElseThrow().workspace().id().value();
      small += name.equals("small") ? 1 : 0;
    }
    assertEquals(10, small, "one in five goes to the smaller share");
  }

  @Test
  void idleShareIsUsedByOthersAndGivesNoClaimLater() {
    for (int i = 0; i < 100; i++) {
      add("big", 1, 1_000, 10);
    }
    for (int i = 0; i < 50; i++) {
      queue.poll();
    }
    for (int i = 0; i < 50; i++) {
      add("small", 1, 1_000, 10);
    }
    int small = 0;
    for (int i = 0; i < 20; i++) {
      small += queue.poll().orElseThrow().workspace().id().value().equals("small") ? 1 : 0;
    }
    assertTrue(small >= 9 && small <= 11, "got " + small);
  }

  @Property(tries = 200, seed = "5")
  void agreesWithSimpleOracleOnSizesAndMembers(@ForAll long seed) {
    UniformRandomProvider random = Policy.newRandom(seed);
    List<QueueEntry> inside = new ArrayList<>();
    Map<QueueEntry, Boolean> out = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      int kind = random.nextInt(4);
      if (kind < 2) {
        inside.add(add("w" + random.nextInt(5), 1 + random.nextInt(3), 1 + i, 5));
      } else if (kind == 2 && !inside.isEmpty()) {
        QueueEntry removed = inside.remove(random.nextInt(inside.size()));
        queue.remove(removed);
        queue.remove(removed);
      } else {
        queue
            .poll()
            .ifPresent(
                entry -> {
                  assertTrue(inside.remove(entry), "polled what was not inside");
                  assertEquals(null, out.put(entry, true), "polled twice");
                });
      }
      assertEquals(inside.size(), queue.size());
    }
    while (queue.size() > 0) {
      queue.poll().orElseThrow();
    }
  }
}

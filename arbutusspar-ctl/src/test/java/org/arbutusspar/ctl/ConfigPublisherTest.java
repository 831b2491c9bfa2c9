package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.core.config.ChangeResult;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.io.StepException;
import org.arbutusspar.io.platform.LogPage;
import org.arbutusspar.io.platform.PlatformLog;
import org.junit.jupiter.api.Test;

class ConfigPublisherTest {

  /** Log in memory that can lose the answers or the effects of appends. */
  private static final class FakeLog implements PlatformLog {
    private final List<String> records = new ArrayList<>();
    private int losesEffects;
    private int losesAnswers;

    @Override
    public CompletableFuture<Long> append(String data) {
      if (losesEffects > 0) {
        losesEffects--;
        return CompletableFuture.failedFuture(new StepException("append", "log", "lost", null));
      }
      records.add(data);
      if (losesAnswers > 0) {
        losesAnswers--;
        return CompletableFuture.failedFuture(new StepException("append", "log", "lost", null));
      }
      return CompletableFuture.completedFuture((long) records.size());
    }

    @Override
    public CompletableFuture<LogPage> read(long from, long waitMillis) {
      List<LogPage.Entry> entries = new ArrayList<>();
      for (long i = from; i <= records.size(); i++) {
        entries.add(new LogPage.Entry(i, records.get((int) i - 1)));
      }
      return CompletableFuture.completedFuture(new LogPage(1, records.size() + 1L, entries));
    }
  }

  private final FakeLog log = new FakeLog();

  private static ConfigObject workspace(int share) {
    return new Workspace(ObjectName.of("w"), "0".repeat(64), share);
  }

  private ChangeResult put(ConfigPublisher publisher, int share) {
    List<ObjectEdit> edits = ConfigPublisher.edits(publisher.read(), List.of(workspace(share)));
    return publisher.publish("test", edits);
  }

  @Test
  void lostAnswerIsSettledByReading() {
    log.losesAnswers = 1;
    assertTrue(put(ConfigPublisher.create(log), 1).accepted());
    assertEquals(1, log.records.size(), "nothing is appended again");
  }

  @Test
  void lostAppendIsRepeated() {
    log.losesEffects = 2;
    assertTrue(put(ConfigPublisher.create(log), 1).accepted());
    assertEquals(1, log.records.size());
  }

  @Test
  void operatorWhoRacedIsToldThatHeLost() {
    put(ConfigPublisher.create(log), 1);
    ConfigPublisher first = ConfigPublisher.create(log);
    ConfigPublisher second = ConfigPublisher.create(log);
    List<ObjectEdit> ofFirst = ConfigPublisher.edits(first.read(), List.of(workspace(2)));
    List<ObjectEdit> ofSecond = ConfigPublisher.edits(second.read(), List.of(workspace(3)));
    assertTrue(first.publish("a", ofFirst).accepted());
    ChangeResult lost = second.publish("b", ofSecond);
    assertFalse(lost.accepted());
    assertEquals("workspace/w is at revision 2, the change is based on 1", lost.reason());
    assertEquals(2, ConfigPublisher.create(log).read().all(Workspace.class).get(0).share());
  }

  @Test
  void sameFolderTwiceChangesNothing() {
    ConfigPublisher publisher = ConfigPublisher.create(log);
    put(publisher, 1);
    assertEquals(List.of(), ConfigPublisher.edits(publisher.read(), List.of(workspace(1))));
  }
}

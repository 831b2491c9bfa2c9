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

/**
 * Guards against changes that are lost, applied twice or overwritten: the log may lose an append or
 * only the response to it, and two operators may change the same object at once.
 */
class ConfigPublisherTest {

  /**
   * Log in memory that fails the next appends: {@code appendsToLose} of them without storing the
   * record, then {@code responsesToLose} of them after storing it.
   */
  private static final class FakeLog implements PlatformLog {
    private final List<String> records = new ArrayList<>();
    private int appendsToLose;
    private int responsesToLose;

    @Override
    public CompletableFuture<Long> append(String data) {
      if (appendsToLose > 0) {
        appendsToLose--;
        return CompletableFuture.failedFuture(new StepException("append", "log", "lost", null));
      }
      records.add(data);
      if (responsesToLose > 0) {
        responsesToLose--;
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

  private ChangeResult publishWorkspace(ConfigPublisher publisher, int share) {
    List<ObjectEdit> edits =
        ConfigPublisher.editsBetween(publisher.readConfiguration(), List.of(workspace(share)));
    return publisher.publish("test", edits);
  }

  @Test
  void lostAppendResponseIsResolvedByReadingTheLog() {
    log.responsesToLose = 1;
    assertTrue(publishWorkspace(ConfigPublisher.create(log), 1).accepted());
    assertEquals(1, log.records.size(), "the record must not be appended again");
  }

  @Test
  void lostAppendIsRetried() {
    log.appendsToLose = 2;
    assertTrue(publishWorkspace(ConfigPublisher.create(log), 1).accepted());
    assertEquals(1, log.records.size());
  }

  @Test
  void concurrentChangeOfTheSameObjectIsRejected() {
    publishWorkspace(ConfigPublisher.create(log), 1);
    ConfigPublisher first = ConfigPublisher.create(log);
    ConfigPublisher second = ConfigPublisher.create(log);
    List<ObjectEdit> firstEdits =
        ConfigPublisher.editsBetween(first.readConfiguration(), List.of(workspace(2)));
    List<ObjectEdit> secondEdits =
        ConfigPublisher.editsBetween(second.readConfiguration(), List.of(workspace(3)));
    assertTrue(first.publish("a", firstEdits).accepted());
    ChangeResult rejected = second.publish("b", secondEdits);
    assertFalse(rejected.accepted());
    assertEquals("workspace/w is at revision 2, the change is based on 1", rejected.reason());
    assertEquals(
        2, ConfigPublisher.create(log).readConfiguration().all(Workspace.class).get(0).share());
  }

  @Test
  void unchangedFolderYieldsNoEdits() {
    ConfigPublisher publisher = ConfigPublisher.create(log);
    publishWorkspace(publisher, 1);
    assertEquals(
        List.of(),
        ConfigPublisher.editsBetween(publisher.readConfiguration(), List.of(workspace(1))));
  }
}

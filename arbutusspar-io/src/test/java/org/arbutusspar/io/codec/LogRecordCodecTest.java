package org.arbutusspar.io.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.config.ChangeId;
import org.arbutusspar.core.config.ConfigFold;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.config.LogRecord;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.config.Objective;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.ObjectName;
import org.junit.jupiter.api.Test;

/**
 * Guards the text form of configuration records. Instances of different versions read the same log,
 * so that an old version must recognize records of a newer format.
 */
class LogRecordCodecTest {

  private static ObjectName name(String text) {
    return ObjectName.of(text);
  }

  private static Service service(String name, StageKind kind) {
    CostPrior cost = new CostPrior(1, 0.5, 2);
    return new Service(name(name), kind, "m", "/p", 3, cost, true, false, 7);
  }

  private static ObjectEdit put(ConfigObject object) {
    return new ObjectEdit(object.key(), 0, Optional.of(object));
  }

  private static LogRecord.Change change() {
    Pipeline pipeline =
        new Pipeline(
            name("chat"),
            6_000,
            List.of(
                new Stage(StageKind.ENCODE, name("enc"), 0),
                new Stage(StageKind.RETRIEVE, name("ret"), 9),
                new Stage(StageKind.GENERATE, name("gen"), 0)));
    return new LogRecord.Change(
        new ChangeId("change-1"),
        "ana",
        List.of(
            put(service("enc", StageKind.ENCODE)),
            put(service("ret", StageKind.RETRIEVE)),
            put(service("gen", StageKind.GENERATE)),
            put(pipeline),
            put(new Workspace(name("w"), "0".repeat(64), 2)),
            put(new Objective(Objective.DEFAULT_NAME, 0.8, 0.2)),
            new ObjectEdit(
                new Workspace(name("x"), "1".repeat(64), 1).key(), 4, Optional.empty())));
  }

  @Test
  void changeSurvivesRoundTrip() {
    assertEquals(change(), LogRecordCodec.decode(LogRecordCodec.encode(change())));
  }

  @Test
  void snapshotSurvivesRoundTrip() {
    ConfigFold fold = ConfigFold.create();
    LogRecord.Change change = change();
    fold.offer(1, new LogRecord.Change(change.id(), change.author(), change.edits().subList(0, 6)));
    LogRecord.Snapshot snapshot = new LogRecord.Snapshot(fold.state());
    assertEquals(6, fold.state().objects().size());
    assertEquals(snapshot, LogRecordCodec.decode(LogRecordCodec.encode(snapshot)));
  }

  @Test
  void foreignRecordsAreIgnorableAndNewerFormatsAreUnreadable() {
    assertInstanceOf(LogRecord.Ignorable.class, LogRecordCodec.decode("not json"));
    assertInstanceOf(LogRecord.Ignorable.class, LogRecordCodec.decode("{\"stream\":\"x\"}"));
    assertInstanceOf(
        LogRecord.Ignorable.class,
        LogRecordCodec.decode("{\"stream\":\"config\",\"format\":2,\"optional\":true}"));
    assertEquals(
        new LogRecord.Unreadable("format 2 is newer than 1"),
        LogRecordCodec.decode("{\"stream\":\"config\",\"format\":2,\"kind\":\"change\"}"));
    assertInstanceOf(
        LogRecord.Unreadable.class,
        LogRecordCodec.decode("{\"stream\":\"config\",\"format\":1,\"kind\":\"magic\"}"));
    assertInstanceOf(
        LogRecord.Ignorable.class,
        LogRecordCodec.decode(
            "{\"stream\":\"config\",\"format\":1,\"kind\":\"change\",\"body\":{\"id\":\"x\"}}"));
  }
}

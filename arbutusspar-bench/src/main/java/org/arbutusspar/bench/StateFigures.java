package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.ChangeId;
import org.arbutusspar.core.config.ConfigFold;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.LogRecord;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.config.VersionedObject;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.CoordinatorOptions;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.flow.Policy;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.io.codec.LogRecordCodec;

/**
 * Measures how the memory, the record sizes and the processor time of the configuration and of the
 * coordinator grow with the size of the deployment.
 */
public final class StateFigures {

  /** Number of configuration changes, and of timer ticks, over which a time is averaged. */
  private static final int REPETITIONS = 500;

  private static final int PIPELINES = 31;
  private static final double BYTES_PER_KIB = 1_024;
  private static final double NANOS_PER_MICRO = 1_000;

  private StateFigures() {}

  /**
   * Prints one line for each size. Runs everything twice in the same process; the first pass
   * includes the warm-up of the JVM.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    for (int pass = 0; pass < 2; pass++) {
      for (int workspaces : new int[] {5, 300, 1_200}) {
        printConfig(workspaces);
      }
      for (int replicas : new int[] {30, 770, 7_700}) {
        printRouting(replicas);
      }
    }
  }

  /** Returns the used heap after garbage collection, in bytes. */
  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Prints the time to fold a change, and the sizes of a change record and of a snapshot.
   *
   * @param workspaces number of workspaces of the deployment
   */
  private static void printConfig(int workspaces) {
    ConfigState state = LargeDeployment.config(PIPELINES, workspaces);
    ConfigFold fold = ConfigFold.create();
    fold.adopt(state);
    List<LogRecord.Change> changes = new ArrayList<>();
    for (int i = 0; i < REPETITIONS; i++) {
      changes.add(change(state, i));
    }
    long changeBytes = LogRecordCodec.encode(changes.get(0)).length();
    long start = System.nanoTime();
    for (int i = 0; i < REPETITIONS; i++) {
      fold.offer(2 + i, changes.get(i));
    }
    double foldMicros = (System.nanoTime() - start) / NANOS_PER_MICRO / REPETITIONS;
    long snapshotBytes = LogRecordCodec.encode(new LogRecord.Snapshot(fold.state())).length();
    System.out.printf(
        "config: workspaces=%d foldMicrosPerChange=%.0f changeBytes=%d snapshotKiB=%.0f%n",
        workspaces, foldMicros, changeBytes, snapshotBytes / BYTES_PER_KIB);
  }

  /**
   * Returns a change that edits the share of one workspace.
   *
   * @param state the initial configuration
   * @param i number of the change, from 0; successive changes edit the workspaces in turn
   */
  private static LogRecord.Change change(ConfigState state, int i) {
    List<VersionedObject> workspaces =
        state.objects().stream().filter(o -> o.object() instanceof Workspace).toList();
    Workspace workspace = (Workspace) workspaces.get(i % workspaces.size()).object();
    ConfigObject edited = new Workspace(workspace.name(), workspace.keySha256(), 1 + i % 100);
    long baseRevision = i < workspaces.size() ? 1 : 2 + i - workspaces.size();
    return new LogRecord.Change(
        new ChangeId("change-" + i),
        "figures",
        List.of(new ObjectEdit(edited.key(), baseRevision, Optional.of(edited))));
  }

  /**
   * Prints the heap of a coordinator, the time to process a replica list, and the time of a tick.
   *
   * @param replicas number of replicas of the deployment
   */
  private static void printRouting(int replicas) {
    List<ListedReplica> listed = LargeDeployment.replicas(replicas);
    ConfigState state = LargeDeployment.config(PIPELINES, 1_200);
    final long bytesBefore = usedBytes();
    Coordinator coordinator =
        Coordinator.create(
            new CoordinatorOptions(
                new Home(InstanceId.of("entry-1"), 1),
                DataCentre.of("dc0"),
                Policy.standard(),
                1,
                1,
                0));
    coordinator.handle(new Event.Configured(state), 1);
    long start = System.nanoTime();
    coordinator.handle(new Event.Listed(listed), 2);
    double listMicros = (System.nanoTime() - start) / NANOS_PER_MICRO;
    for (ListedReplica each : listed) {
      coordinator.handle(
          new Event.Polled(each.service(), each.id(), new LoadReport(1, 0, false)), 3);
    }
    long tickStart = System.nanoTime();
    for (int i = 0; i < REPETITIONS; i++) {
      coordinator.handle(new Event.Tick(), 4 + i * 10_000_000L);
    }
    double tickMicros = (System.nanoTime() - tickStart) / NANOS_PER_MICRO / REPETITIONS;
    System.out.printf(
        "routing: replicas=%d heapKiB=%.0f listMicros=%.0f tickMicros=%.0f%n",
        replicas, (usedBytes() - bytesBefore) / BYTES_PER_KIB, listMicros, tickMicros);
    if (coordinator.status().active() != 0) {
      throw new IllegalStateException("requests are active although none was sent");
    }
  }
}

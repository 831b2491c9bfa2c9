package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.arbutusspar.platform.standin.ReplicaStandin;

/** Replicas of a service that crash under some requests. Another one replaces each that crashed. */
final class CrashingReplicas implements AutoCloseable {

  /** First characters of the identifiers of the replicas, and so of their signatures. */
  static final String ID_PREFIX = "c-";

  private static final long RESTART_MILLIS = 400;

  private final GatewayRig rig;
  private final String service;
  private final ReplicaStandin.Behaviour behaviour;
  private final BiConsumer<ReplicaStandin, Runnable> crashCondition;
  private final List<ReplicaStandin> replicas = new CopyOnWriteArrayList<>();
  private final List<Long> crashTimes = new CopyOnWriteArrayList<>();
  private final AtomicInteger started = new AtomicInteger();
  private volatile boolean closed;

  private CrashingReplicas(
      GatewayRig rig,
      String service,
      ReplicaStandin.Behaviour behaviour,
      BiConsumer<ReplicaStandin, Runnable> crashCondition) {
    this.rig = rig;
    this.service = service;
    this.behaviour = behaviour;
    this.crashCondition = crashCondition;
  }

  /**
   * Starts replicas and lists them in the store.
   *
   * @param rig the running test, which closes the replicas
   * @param service name of their service
   * @param behaviour how they handle other requests
   * @param count number of replicas
   * @param crashCondition sets the requests under which a replica crashes, and what it runs then
   * @return the replicas
   */
  static CrashingReplicas start(
      GatewayRig rig,
      String service,
      ReplicaStandin.Behaviour behaviour,
      int count,
      BiConsumer<ReplicaStandin, Runnable> crashCondition) {
    CrashingReplicas replicas = new CrashingReplicas(rig, service, behaviour, crashCondition);
    for (int i = 0; i < count; i++) {
      replicas.startOne();
    }
    return rig.closeAfterTest(replicas);
  }

  private void startOne() {
    try {
      String id = ID_PREFIX + started.incrementAndGet();
      ReplicaStandin replica =
          ReplicaStandin.start(id, GatewayRig.freeEndpoint(GatewayRig.FIRST_ADDRESS));
      replicas.add(replica);
      replica.setBehaviour(behaviour);
      crashCondition.accept(replica, () -> replace(id, replica));
      rig.store.putReplica(id, replica.listEntry(service, false));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void replace(String id, ReplicaStandin crashed) {
    crashTimes.add(System.nanoTime());
    crashed.close();
    GatewayRig.sleep(RESTART_MILLIS);
    if (!closed) {
      rig.store.putReplica(id, "");
      startOne();
    }
  }

  /** Returns the times of the crashes, as of {@link System#nanoTime}. */
  List<Long> crashTimes() {
    return crashTimes;
  }

  @Override
  public void close() {
    closed = true;
    replicas.forEach(ReplicaStandin::close);
  }
}

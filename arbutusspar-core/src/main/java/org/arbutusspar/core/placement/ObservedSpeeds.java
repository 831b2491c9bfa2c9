package org.arbutusspar.core.placement;

import java.util.Map;
import java.util.OptionalInt;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.BoundedMaps;

/**
 * Speeds of replicas as their chooser observes them. The speed has two parts: the lasting speed of
 * the machine, from how long work took, and the passing influence of others on that machine, which
 * the replica states. Work is measured without the passing part, so others that have left do not
 * count against the replica.
 *
 * <p>Load pattern: replicas on machines of different speeds that they share with others, so that
 * work takes a multiple of its usual time now and then. Long work on a slow one misses the latency
 * objective of its request, and delays those that run beside it.
 *
 * <p>Speeds are 1 for services whose replicas do not state how long work takes. What is known of a
 * replica does not apply to one that has started later under the same identifier. Times are
 * monotonic, in nanoseconds. Not thread-safe.
 */
public final class ObservedSpeeds implements ReplicaSpeeds {

  private static final int MAX_REPLICAS = 8_192;
  private static final int MAX_SERVICES = 256;

  /** Bounds of the lasting speed of a replica. */
  private static final double MIN_SPEED = 0.1;

  private static final double MAX_SPEED = 4;

  private final Map<String, ServiceWork> services = BoundedMaps.droppingOldest(MAX_SERVICES);
  private final Map<String, ReplicaWork> replicas = BoundedMaps.droppingOldest(MAX_REPLICAS);

  private ObservedSpeeds() {}

  /** Returns speeds of which nothing is known. */
  public static ObservedSpeeds create() {
    return new ObservedSpeeds();
  }

  /**
   * Records how long work takes at a replica, as it states.
   *
   * @param replica the replica, not null
   * @param workPercent time that work takes in percent of the usual, positive; 0 is ignored
   * @param now current time
   */
  public void onStated(UpstreamReplica replica, int workPercent, long now) {
    if (workPercent > 0) {
      ServiceWork service = service(replica.service());
      service.stated = true;
      replica(replica).stated.onStated(workPercent, service.persistence, now);
    }
  }

  /**
   * Records how long some work took at a replica.
   *
   * @param replica the replica, not null
   * @param expectedMillis time that the work takes at the usual speed, positive; its unit does not
   *     matter as long as it is the same for all work of the service
   * @param observedMillis time that it took, in milliseconds
   * @param workPercent what the replica stated in the response; empty if nothing
   * @param now current time
   */
  public void onWork(
      UpstreamReplica replica,
      double expectedMillis,
      double observedMillis,
      OptionalInt workPercent,
      long now) {
    Validate.isTrue(expectedMillis > 0, "expectedMillis must be positive");
    ServiceWork service = service(replica.service());
    int percent = workPercent.orElse(0);
    double undisturbed = percent > 0 ? observedMillis * 100 / percent : observedMillis;
    double bounded = service.work.bounded(expectedMillis, undisturbed);
    service.work.add(expectedMillis, bounded, now);
    replica(replica).work.add(expectedMillis, bounded, now);
  }

  /**
   * Returns whether replicas of a service state how long work takes.
   *
   * @param serviceName name of the service, not null
   * @return true once one of them has
   */
  public boolean isStated(String serviceName) {
    ServiceWork service = services.get(serviceName);
    return service != null && service.stated;
  }

  @Override
  public double relativeSpeed(UpstreamReplica replica, long now) {
    ReplicaWork work = replicas.get(replica.incarnation());
    if (work == null || !isStated(replica.service())) {
      return 1;
    }
    ServiceWork service = service(replica.service());
    return lastingSpeed(replica, now) * 100 / work.stated.forecast(service.persistence, now);
  }

  /**
   * Returns the speed of a replica without the influence of others on its machine.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return the speed relative to the mean of its service; 1 if nothing is known
   */
  public double lastingSpeed(UpstreamReplica replica, long now) {
    ReplicaWork work = replicas.get(replica.incarnation());
    if (work == null || !isStated(replica.service())) {
      return 1;
    }
    double speed = work.work.speedRelativeTo(service(replica.service()).work, now);
    return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
  }

  private ServiceWork service(String name) {
    return services.computeIfAbsent(name, n -> new ServiceWork());
  }

  private ReplicaWork replica(UpstreamReplica replica) {
    return replicas.computeIfAbsent(replica.incarnation(), i -> new ReplicaWork());
  }

  /** What is known of all replicas of a service. */
  private static final class ServiceWork {
    private final StatePersistence persistence = new StatePersistence();
    private final WorkTimes work = WorkTimes.ofService();
    private boolean stated;
  }

  /** What is known of one incarnation of a replica. */
  private static final class ReplicaWork {
    private final StatedWork stated = new StatedWork();
    private final WorkTimes work = WorkTimes.ofReplica();
  }
}

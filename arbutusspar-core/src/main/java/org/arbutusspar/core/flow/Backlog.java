package org.arbutusspar.core.flow;

import java.util.HashMap;
import java.util.Map;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * Predicted work of admitted requests that has not ended, by service and workspace. It includes
 * work that is queued, that is running, and that belongs to later stages of a request. Used by the
 * decision thread only.
 */
final class Backlog {

  /** Work below this is rounding error of the sums and counts as none. */
  private static final double ROUNDING_TOLERANCE_MILLIS = 1e-6;

  private final Map<ObjectName, ServiceBacklog> services = new HashMap<>();

  private Backlog() {}

  static Backlog create() {
    return new Backlog();
  }

  /** Adds the predicted work of one request at a service, in milliseconds. */
  void add(ObjectName service, WorkspaceShare workspace, double millis) {
    services.computeIfAbsent(service, s -> new ServiceBacklog()).add(workspace, millis);
  }

  /** Removes work that was added before, in milliseconds. */
  void remove(ObjectName service, WorkspaceShare workspace, double millis) {
    ServiceBacklog backlog = services.get(service);
    if (backlog != null) {
      backlog.remove(workspace, millis);
    }
  }

  /**
   * Returns the work that a service does before a new request of a workspace, if the workspaces get
   * the service in proportion to their shares.
   *
   * @return milliseconds, if calls ran one at a time at one replica
   */
  double millisBefore(ObjectName service, WorkspaceShare workspace) {
    ServiceBacklog backlog = services.get(service);
    return backlog == null ? 0 : backlog.millisBefore(workspace);
  }

  /** Backlog of one service. */
  private static final class ServiceBacklog {
    private final Map<WorkspaceId, Double> millisByWorkspace = new HashMap<>();
    private final Map<WorkspaceId, Integer> shareByWorkspace = new HashMap<>();
    private double totalMillis;
    private int shareSum;

    private void add(WorkspaceShare workspace, double millis) {
      millisByWorkspace.merge(workspace.id(), millis, Double::sum);
      totalMillis += millis;
      Integer previousShare = shareByWorkspace.put(workspace.id(), workspace.share());
      shareSum += workspace.share() - (previousShare == null ? 0 : previousShare);
    }

    private void remove(WorkspaceShare workspace, double millis) {
      double remainingMillis = millisByWorkspace.getOrDefault(workspace.id(), 0.0) - millis;
      totalMillis = Math.max(0, totalMillis - millis);
      if (remainingMillis > ROUNDING_TOLERANCE_MILLIS) {
        millisByWorkspace.put(workspace.id(), remainingMillis);
        return;
      }
      millisByWorkspace.remove(workspace.id());
      Integer share = shareByWorkspace.remove(workspace.id());
      shareSum -= share == null ? 0 : share;
    }

    private double millisBefore(WorkspaceShare workspace) {
      double ownMillis = millisByWorkspace.getOrDefault(workspace.id(), 0.0);
      int otherShares = shareSum - shareByWorkspace.getOrDefault(workspace.id(), 0);
      double fairMillis = ownMillis * (otherShares + workspace.share()) / workspace.share();
      return Math.min(totalMillis, fairMillis);
    }
  }
}

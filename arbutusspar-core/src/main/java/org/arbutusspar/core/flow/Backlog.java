package org.arbutusspar.core.flow;

import java.util.HashMap;
import java.util.Map;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * Work that admitted requests still have before them, by service and workspace, whether it waits,
 * runs, or is at an earlier stage. Changed by the decision thread only.
 */
final class Backlog {

  private static final double TINY_MILLIS = 1e-6;

  private final Map<ObjectName, ServiceBacklog> services = new HashMap<>();

  private Backlog() {}

  static Backlog create() {
    return new Backlog();
  }

  /** Books work that a request will have at a service. */
  void add(ObjectName service, WorkspaceShare workspace, double millis) {
    services.computeIfAbsent(service, s -> new ServiceBacklog()).add(workspace, millis);
  }

  /** Takes back work that was booked. */
  void remove(ObjectName service, WorkspaceShare workspace, double millis) {
    ServiceBacklog backlog = services.get(service);
    if (backlog != null) {
      backlog.remove(workspace, millis);
    }
  }

  /**
   * Returns the work that a service will do before a new request of a workspace, if workspaces
   * share it fairly.
   *
   * @return milliseconds at one replica's one call
   */
  double millisBefore(ObjectName service, WorkspaceShare workspace) {
    ServiceBacklog backlog = services.get(service);
    return backlog == null ? 0 : backlog.millisBefore(workspace);
  }

  /** Work before one service. */
  private static final class ServiceBacklog {
    private final Map<WorkspaceId, Double> byWorkspace = new HashMap<>();
    private final Map<WorkspaceId, Integer> shares = new HashMap<>();
    private double total;
    private int shareSum;

    private void add(WorkspaceShare workspace, double millis) {
      byWorkspace.merge(workspace.id(), millis, Double::sum);
      total += millis;
      Integer before = shares.put(workspace.id(), workspace.share());
      shareSum += workspace.share() - (before == null ? 0 : before);
    }

    private void remove(WorkspaceShare workspace, double millis) {
      double left = byWorkspace.getOrDefault(workspace.id(), 0.0) - millis;
      total = Math.max(0, total - millis);
      if (left > TINY_MILLIS) {
        byWorkspace.put(workspace.id(), left);
        return;
      }
      byWorkspace.remove(workspace.id());
      Integer share = shares.remove(workspace.id());
      shareSum -= share == null ? 0 : share;
    }

    private double millisBefore(WorkspaceShare workspace) {
      double own = byWorkspace.getOrDefault(workspace.id(), 0.0);
      int others = shareSum - shares.getOrDefault(workspace.id(), 0);
      double fair = own * (others + workspace.share()) / workspace.share();
      return Math.min(total, fair);
    }
  }
}

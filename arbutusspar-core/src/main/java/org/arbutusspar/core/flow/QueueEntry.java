package org.arbutusspar.core.flow;

/** Entry of a waiting request in a {@link StageQueue}. Used by the decision thread only. */
final class QueueEntry {

  private final ActiveRequest request;
  private final WorkspaceShare workspace;
  private final double predictedMillis;
  private final boolean started;
  private boolean removed;

  private QueueEntry(ActiveRequest request, WorkspaceShare workspace, double predictedMillis) {
    this.request = request;
    this.workspace = workspace;
    this.predictedMillis = predictedMillis;
    this.started = request.mayHaveRun();
  }

  static QueueEntry create(
      ActiveRequest request, WorkspaceShare workspace, double predictedMillis) {
    return new QueueEntry(request, workspace, predictedMillis);
  }

  ActiveRequest request() {
    return request;
  }

  WorkspaceShare workspace() {
    return workspace;
  }

  double predictedMillis() {
    return predictedMillis;
  }

  /** Returns whether an attempt of the request may have run before it was queued. */
  boolean isStarted() {
    return started;
  }

  boolean isRemoved() {
    return removed;
  }

  void markRemoved() {
    removed = true;
  }
}

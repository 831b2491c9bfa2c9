package org.arbutusspar.entry.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.core.placement.CrashReport;
import org.arbutusspar.core.placement.CrashingRequestDetector;
import org.arbutusspar.core.placement.RequestIdentity;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Keeps requests that crash replicas from being sent on, whichever instance they arrive at. All
 * instances pass the crashes that they see on to each other, so that each holds all evidence and
 * decides by itself.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class CrashingRequestGuard {

  private static final int MAX_REQUESTS = 4_096;

  /** Maximum number of reports that a peer gets when it connects; the latest ones are sent. */
  private static final int MAX_REPORTS_FOR_NEW_PEER = 512;

  private final BlockList blocks;
  private final PeerNetwork peerNetwork;
  private final EventLoop loop;
  private final EventLog log;
  private final CrashingRequestDetector detector = CrashingRequestDetector.create();

  /** Heads of the identities of requests that had crashes. */
  private final Map<String, Boolean> suspectHeads = BoundedMaps.droppingOldest(MAX_REQUESTS);

  /** Subjects of the requests under which this instance saw a crash. */
  private final Map<String, Boolean> ownSubjects = BoundedMaps.droppingOldest(MAX_REQUESTS);

  private CrashingRequestGuard(
      BlockList blocks, PeerNetwork peerNetwork, EventLoop loop, EventLog log) {
    this.blocks = blocks;
    this.peerNetwork = peerNetwork;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns a guard that knows no crash.
   *
   * @param blocks receives the requests that crash replicas, not null
   * @param peerNetwork passes crashes on to the peers, not null
   * @param loop event loop, not null
   * @param log receives each crash, not null
   * @return the guard
   */
  static CrashingRequestGuard create(
      BlockList blocks, PeerNetwork peerNetwork, EventLoop loop, EventLog log) {
    return new CrashingRequestGuard(blocks, peerNetwork, loop, log);
  }

  /**
   * Returns the decision that blocks a request.
   *
   * @param request the request, not null
   * @return the decision, or empty if it may be sent
   */
  Optional<BlockDecision> findBlocked(RequestIdentity request) {
    return blocks.mayBlock(request.head())
        ? blocks.findBlocked(List.of(request.subject()))
        : Optional.empty();
  }

  /**
   * Records that the connection to a replica broke under a request, soon after its response had
   * started at the latest.
   *
   * @param requestId identifier of the client's attempt, for the log, not null
   * @param request the request, not null
   * @param replica the replica, not null
   * @param sentAt time when the request was sent
   */
  void onBroken(String requestId, RequestIdentity request, UpstreamReplica replica, long sentAt) {
    CrashReport report =
        new CrashReport(request.subject(), replica.incarnation(), sentAt, loop.now());
    if (add(report)) {
      log.write(
          "request-broken",
          "id",
          requestId,
          "subject",
          report.subject(),
          "replica",
          report.incarnation(),
          "replicas",
          detector.crashedReplicas(report.subject()));
      ownSubjects.put(report.subject(), true);
      peerNetwork.sendToAll(new PeerMessage.CrashEvidence(List.of(report), List.of(), List.of()));
    }
  }

  private boolean add(CrashReport report) {
    suspectHeads.put(RequestIdentity.headOf(report.subject()), true);
    boolean added = detector.add(report, loop.now());
    if (added) {
      loop.after(CrashingRequestDetector.SETTLING_MILLIS, this::decide);
    }
    return added;
  }

  /**
   * Blocks and permits what follows from the evidence. All instances come to the same decision, and
   * those that have seen a crash themselves publish it.
   */
  private void decide() {
    CrashingRequestDetector.Findings findings = detector.findings(loop.now());
    for (String subject : findings.crashing()) {
      if (ownSubjects.containsKey(subject)) {
        blocks.block(subject, detector.crashedReplicas(subject));
      } else {
        blocks.blockHere(subject);
      }
    }
    findings.cleared().forEach(blocks::permit);
  }

  /**
   * Records the complete response of a replica to a request.
   *
   * @param request the request, not null
   * @param replica the replica, not null
   * @param sentAt time when the request was sent
   */
  void onCompleted(RequestIdentity request, UpstreamReplica replica, long sentAt) {
    List<String> reached = refuted(replica, sentAt);
    List<String> completed =
        suspectHeads.containsKey(request.head()) && complete(request.subject())
            ? List.of(request.subject())
            : List.of();
    publish(completed, reached);
  }

  /**
   * Records that a replica rejected a request, so that it runs.
   *
   * @param replica the replica, not null
   * @param sentAt time when the request was sent
   */
  void onRejected(UpstreamReplica replica, long sentAt) {
    publish(List.of(), refuted(replica, sentAt));
  }

  private List<String> refuted(UpstreamReplica replica, long sentAt) {
    return detector.refuteCrash(replica.incarnation(), sentAt)
        ? List.of(replica.incarnation())
        : List.of();
  }

  /** Drops the crashes under a request. Returns whether there were any, or the request blocked. */
  private boolean complete(String subject) {
    boolean hadCrashes = detector.onCompleted(subject);
    boolean blocked = blocks.findBlocked(List.of(subject)).isPresent();
    if (blocked) {
      blocks.permit(subject);
    }
    return hadCrashes || blocked;
  }

  private void publish(List<String> completed, List<String> reached) {
    if (!completed.isEmpty() || !reached.isEmpty()) {
      peerNetwork.sendToAll(new PeerMessage.CrashEvidence(List.of(), completed, reached));
      decide();
    }
  }

  /**
   * Handles a message from a peer. Messages that do not concern crashes are ignored.
   *
   * @param message the message, not null
   */
  void onMessage(PeerMessage message) {
    if (!(message instanceof PeerMessage.CrashEvidence evidence)) {
      return;
    }
    List<CrashReport> reports = evidence.reports().stream().filter(this::add).toList();
    List<String> completed = evidence.completed().stream().filter(detector::onCompleted).toList();
    List<String> reached = evidence.reached().stream().filter(detector::removeCrashes).toList();
    boolean isNews = !reports.isEmpty() || !completed.isEmpty() || !reached.isEmpty();
    if (isNews && peerNetwork.isRelay()) {
      peerNetwork.sendToAll(new PeerMessage.CrashEvidence(reports, completed, reached));
    }
  }

  /**
   * Sends the known crashes to a peer that has connected.
   *
   * @param name name of the peer, not null
   */
  void onUp(String name) {
    List<CrashReport> reports = new ArrayList<>(detector.reports());
    if (!reports.isEmpty()) {
      int first = Math.max(0, reports.size() - MAX_REPORTS_FOR_NEW_PEER);
      List<CrashReport> latest = reports.subList(first, reports.size());
      peerNetwork.send(name, new PeerMessage.CrashEvidence(latest, List.of(), List.of()));
    }
  }
}

package review;

import java.util.List;

/** The rule LOST for a SIGTERM of the machine that took the requests. */
final class LostRule {

  private static final double GRACE_SECONDS = 8;
  private static final double ROUTE_TIMEOUT_SECONDS = 12;

  private LostRule() {}

  /** Returns whether the rule held. */
  static boolean check(
      Record record, List<StreamClient> clients, List<StreamReplica> replicas, long signalAt) {
    int lost = 0;
    for (StreamClient client : clients) {
      boolean passedOn = replicas.stream().anyMatch(r -> r.states.containsKey(client.id));
      if (client.complete || !passedOn || client.sentAt == 0) {
        continue;
      }
      double sent = (client.sentAt - signalAt) / 1e9;
      double ended = (client.endedAt - signalAt) / 1e9;
      // The window of a SIGTERM: from the signal until 1 s after grace_s.
      boolean inWindow = sent >= 0 && ended <= GRACE_SECONDS + 1;
      boolean timedOut = ended - sent >= ROUTE_TIMEOUT_SECONDS;
      // Still at work in the last sixth of grace_s on a request sent within 3 s of the SIGTERM.
      boolean excused = sent <= 3 && ended >= GRACE_SECONDS * 5 / 6;
      if (inWindow && !timedOut && !excused) {
        lost++;
        record.line(
            "LOST: %s, sent %.3f s after SIGTERM and passed on, ended without a complete answer"
                + " at %.3f s",
            client.id, sent, ended);
      }
    }
    record.line("%d requests were lost", lost);
    return lost == 0;
  }
}

package org.arbutusspar.core.flow;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;

/** Callers that wait for the outcome of a request or query that was forwarded to its home. */
final class PendingForwards {

  /** Maximum number of callers that wait for other instances. */
  static final int MAX_PENDING_FORWARDS = 20_000;

  private static final String STEP = "forward";

  /** Time after the deadline in which an outcome from the home is still accepted. */
  private static final long EXPIRY_GRACE_NANOS = Nanos.ofMillis(100);

  private final Map<CallerId, Forward> byCaller = new HashMap<>();
  private final Actions actions;

  private PendingForwards(Actions actions) {
    this.actions = actions;
  }

  static PendingForwards create(Actions actions) {
    return new PendingForwards(actions);
  }

  boolean isFull() {
    return byCaller.size() >= MAX_PENDING_FORWARDS;
  }

  void onForwarded(CallerId caller, RequestKey key, Home home, long deadlineNanos) {
    byCaller.put(caller, new Forward(key, home, deadlineNanos + EXPIRY_GRACE_NANOS));
    actions.record(Decision.Kind.FORWARD, key, STEP, home.toString(), "reason=home");
  }

  void onReplied(CallerId caller, Outcome outcome) {
    Forward forward = byCaller.remove(caller);
    if (forward != null) {
      actions.reply(caller, forward.key(), outcome);
    }
  }

  void onLost(CallerId caller) {
    Forward forward = byCaller.remove(caller);
    if (forward != null) {
      refuse(caller, forward, Reason.HOME_GONE);
    }
  }

  void onCallerLeft(CallerId caller) {
    byCaller.remove(caller);
  }

  void onTick(long now) {
    for (Iterator<Map.Entry<CallerId, Forward>> it = byCaller.entrySet().iterator();
        it.hasNext(); ) {
      Map.Entry<CallerId, Forward> entry = it.next();
      if (now >= entry.getValue().expiryNanos()) {
        it.remove();
        refuse(entry.getKey(), entry.getValue(), Reason.DEADLINE);
      }
    }
  }

  int size() {
    return byCaller.size();
  }

  private void refuse(CallerId caller, Forward forward, Reason reason) {
    Outcome.Origin origin = new Outcome.Origin(STEP, forward.home().toString());
    actions.refuse(caller, forward.key(), Refusals.unknown(reason, origin));
  }

  private record Forward(RequestKey key, Home home, long expiryNanos) {}
}

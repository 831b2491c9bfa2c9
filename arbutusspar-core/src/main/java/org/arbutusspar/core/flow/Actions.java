package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;

/** Collects the actions that result from one event. */
final class Actions {

  private static final String NO_REQUEST = "-";

  private List<Action> actions = new ArrayList<>();

  private Actions() {}

  static Actions create() {
    return new Actions();
  }

  void add(Action action) {
    actions.add(action);
  }

  /** Returns the collected actions and clears the collection. */
  List<Action> take() {
    List<Action> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  void record(Decision.Kind kind, RequestKey key, String step, String peer, String detail) {
    add(
        new Action.Record(
            new Decision(kind, key.id().toString(), key.workspace().value(), step, peer, detail)));
  }

  void record(Decision.Kind kind, String step, String peer, String detail) {
    add(new Action.Record(new Decision(kind, NO_REQUEST, NO_REQUEST, step, peer, detail)));
  }

  void reply(CallerId caller, RequestKey key, Outcome outcome) {
    add(new Action.Reply(caller, key, outcome));
  }

  /** Sends a caller the outcome of a request without an answer and records it as a decision. */
  void refuse(CallerId caller, RequestKey key, Outcome.Refused outcome) {
    recordRefusal(key, outcome);
    reply(caller, key, outcome);
  }

  void recordRefusal(RequestKey key, Outcome.Refused outcome) {
    record(
        Decision.Kind.REFUSE,
        key,
        outcome.origin().step(),
        outcome.origin().peer(),
        "verdict="
            + outcome.verdict()
            + " reason="
            + outcome.reason().label()
            + " comeBackMs="
            + outcome.comeBackMillis());
  }
}

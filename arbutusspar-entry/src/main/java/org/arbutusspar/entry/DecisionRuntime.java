package org.arbutusspar.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.Decision;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.upstream.UpstreamClient;

/** Feeds events to the coordinator and carries out its actions, on the decision thread. */
final class DecisionRuntime {

  private static final Logger DECISIONS = LogManager.getLogger("arbutusspar.decisions");

  private final Coordinator coordinator;
  private final EntryMetrics metrics;
  private final Map<CallerId, ReplyTarget> callers = new HashMap<>();
  private UpstreamClient upstream;
  private Forwarder forwarder;
  private long nextCaller;

  private DecisionRuntime(Coordinator coordinator, EntryMetrics metrics) {
    this.coordinator = coordinator;
    this.metrics = metrics;
  }

  static DecisionRuntime create(Coordinator coordinator, EntryMetrics metrics) {
    return new DecisionRuntime(
        Objects.requireNonNull(coordinator, "coordinator"),
        Objects.requireNonNull(metrics, "metrics"));
  }

  /** Sets where attempts and forwarded requests go; to be called before the first event. */
  void connect(UpstreamClient upstreamClient, Forwarder requestForwarder) {
    upstream = upstreamClient;
    forwarder = requestForwarder;
  }

  Coordinator coordinator() {
    return coordinator;
  }

  /** Returns the number of callers that wait. */
  int waitingCallers() {
    return callers.size();
  }

  /** Registers a caller that will get exactly one reply. */
  CallerId register(ReplyTarget target) {
    CallerId caller = new CallerId(nextCaller++);
    callers.put(caller, target);
    return caller;
  }

  /** Forgets a caller that went away. */
  void forget(CallerId caller) {
    callers.remove(caller);
  }

  void handle(Event event) {
    List<Action> actions = coordinator.handle(event, System.nanoTime());
    for (Action action : actions) {
      perform(action);
    }
  }

  private void perform(Action action) {
    if (action instanceof Action.Send send) {
      metrics.onSend(send.service().name().value());
      upstream.send(send);
    } else if (action instanceof Action.Record decision) {
      log(decision.decision());
    } else if (action instanceof Action.Reply reply) {
      metrics.onOutcome(reply.outcome());
      ReplyTarget target = callers.remove(reply.caller());
      if (target != null) {
        target.reply(reply.key(), reply.outcome());
      }
    } else if (action instanceof Action.Emit emit) {
      ReplyTarget target = callers.get(emit.caller());
      if (target != null) {
        target.emit(emit.text(), emit.restart());
      }
    } else if (action instanceof Action.Cancel cancel) {
      upstream.cancel(cancel.attempt());
    } else if (action instanceof Action.Poll poll) {
      upstream.poll(poll);
    } else if (action instanceof Action.ForwardRequest forward) {
      forwarder.submit(forward);
    } else if (action instanceof Action.ForwardAsk ask) {
      forwarder.ask(ask);
    }
  }

  private void log(Decision decision) {
    metrics.onDecision(decision);
    DECISIONS.info(
        KeyValueLine.event(label(decision.kind()))
            .with("request", decision.request())
            .with("workspace", decision.workspace())
            .with("step", decision.step())
            .with("peer", decision.peer())
            .withPairs(decision.detail()));
  }

  private static String label(Decision.Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /** Hands requests and questions to the instances that are their home. */
  interface Forwarder {

    /** Hands a request on. */
    void submit(Action.ForwardRequest forward);

    /** Hands a question on. */
    void ask(Action.ForwardAsk ask);
  }
}

package org.arbutusspar.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.config.ConfigIndex;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.Decision;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.io.upstream.UpstreamClient;

/** Feeds events to the coordinator and carries out its actions, on the decision thread. */
final class DecisionRuntime {

  private static final Logger DECISIONS = LogManager.getLogger("arbutusspar.decisions");

  private final Coordinator coordinator;
  private final EntryMetrics metrics;
  private final Map<CallerId, ReplyTarget> callers = new HashMap<>();
  private UpstreamClient upstream;
  private Forwarder forwarder;
  private final KeyedExecutor executor;
  private final AtomicLong nextCallerNumber = new AtomicLong();
  private volatile ConfigIndex config = ConfigIndex.of(ConfigState.EMPTY);

  private DecisionRuntime(Coordinator coordinator, EntryMetrics metrics, KeyedExecutor executor) {
    this.coordinator = coordinator;
    this.metrics = metrics;
    this.executor = executor;
  }

  static DecisionRuntime create(
      Coordinator coordinator, EntryMetrics metrics, KeyedExecutor executor) {
    return new DecisionRuntime(
        Objects.requireNonNull(coordinator, "coordinator"),
        Objects.requireNonNull(metrics, "metrics"),
        Objects.requireNonNull(executor, "lanes"));
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

  /** Returns an identifier for a caller that is about to be registered; safe on any thread. */
  CallerId newCaller() {
    return new CallerId(nextCallerNumber.getAndIncrement());
  }

  /** Registers a caller that will get exactly one reply. */
  CallerId register(ReplyTarget target) {
    CallerId caller = newCaller();
    register(caller, target);
    return caller;
  }

  /** Registers a caller that will get exactly one reply. */
  void register(CallerId caller, ReplyTarget target) {
    callers.put(caller, target);
  }

  /** Returns the configuration in force; safe on any thread. */
  ConfigIndex config() {
    return config;
  }

  /** Forgets a caller that went away. */
  void unregister(CallerId caller) {
    callers.remove(caller);
  }

  void handle(Event event) {
    List<Action> actions = coordinator.handle(event, System.nanoTime());
    for (Action action : actions) {
      perform(action);
    }
    config = coordinator.config();
  }

  private void perform(Action action) {
    if (action instanceof Action.Send send) {
      metrics.onSend(send.service().name().value());
      executor.run(send.attempt(), () -> upstream.send(send));
    } else if (action instanceof Action.Record decision) {
      log(decision.decision());
    } else if (action instanceof Action.Reply reply) {
      metrics.onOutcome(reply.outcome());
      ReplyTarget target = callers.remove(reply.caller());
      if (target != null) {
        executor.run(reply.caller(), () -> target.reply(reply.key(), reply.outcome()));
      }
    } else if (action instanceof Action.Emit emit) {
      ReplyTarget target = callers.get(emit.caller());
      if (target != null) {
        executor.run(emit.caller(), () -> target.emit(emit.text(), emit.restart()));
      }
    } else if (action instanceof Action.Cancel cancel) {
      executor.run(cancel.attempt(), () -> upstream.cancel(cancel.attempt()));
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
    DECISIONS.info(new DecisionMessage(decision));
  }

  /** Hands requests and questions to the instances that are their home. */
  interface Forwarder {

    /** Hands a request on. */
    void submit(Action.ForwardRequest forward);

    /** Hands a question on. */
    void ask(Action.ForwardAsk ask);
  }
}

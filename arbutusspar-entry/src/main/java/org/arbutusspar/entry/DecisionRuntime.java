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

/**
 * Passes events to the coordinator and carries out the actions that it returns. Encoding and
 * sending run on other threads, in order for each attempt and each caller.
 *
 * <p>Not thread-safe: confined to the decision thread, except for the methods that say otherwise.
 */
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

  /**
   * Returns a runtime. {@link #connect} must be called before the first event.
   *
   * @param coordinator makes the decisions, not null
   * @param metrics metrics to update, not null
   * @param executor runs the actions that send data, not null
   * @return the runtime
   */
  static DecisionRuntime create(
      Coordinator coordinator, EntryMetrics metrics, KeyedExecutor executor) {
    return new DecisionRuntime(
        Objects.requireNonNull(coordinator, "coordinator"),
        Objects.requireNonNull(metrics, "metrics"),
        Objects.requireNonNull(executor, "executor"));
  }

  /**
   * Sets the receivers of attempts and forwarded requests. They need this runtime themselves and
   * are therefore not parameters of {@link #create}.
   *
   * @param upstreamClient sends attempts and polls to replicas, not null
   * @param requestForwarder sends requests and queries to peers, not null
   */
  void connect(UpstreamClient upstreamClient, Forwarder requestForwarder) {
    upstream = upstreamClient;
    forwarder = requestForwarder;
  }

  /** Returns the coordinator. */
  Coordinator coordinator() {
    return coordinator;
  }

  /** Returns the number of registered callers, which wait for an outcome. */
  int waitingCallers() {
    return callers.size();
  }

  /** Returns an unused identifier, with which a caller can be registered. Thread-safe. */
  CallerId newCaller() {
    return new CallerId(nextCallerNumber.getAndIncrement());
  }

  /**
   * Registers a caller under a new identifier. It stays registered until it gets its outcome.
   *
   * @param target receives the outcome, not null
   * @return identifier of the caller
   */
  CallerId register(ReplyTarget target) {
    CallerId caller = newCaller();
    register(caller, target);
    return caller;
  }

  /**
   * Registers a caller. It stays registered until it gets its outcome.
   *
   * @param caller identifier of the caller, not null
   * @param target receives the outcome, not null
   */
  void register(CallerId caller, ReplyTarget target) {
    callers.put(caller, target);
  }

  /** Returns the configuration in force. Thread-safe. */
  ConfigIndex config() {
    return config;
  }

  /**
   * Removes a caller that disconnected. It gets no outcome.
   *
   * @param caller identifier of the caller, not null
   */
  void unregister(CallerId caller) {
    callers.remove(caller);
  }

  /**
   * Handles an event and carries out the resulting actions.
   *
   * @param event the event, not null
   */
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

  /** Sends requests and queries for outcomes to their home instances. */
  interface Forwarder {

    /**
     * Sends a request to its home.
     *
     * @param forward the request, its home and its caller, not null
     */
    void submit(Action.ForwardRequest forward);

    /**
     * Queries the home of a request for its outcome.
     *
     * @param ask key of the request, its home and its caller, not null
     */
    void ask(Action.ForwardAsk ask);
  }
}

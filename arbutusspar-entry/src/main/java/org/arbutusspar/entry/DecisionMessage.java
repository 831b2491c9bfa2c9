package org.arbutusspar.entry;

import java.util.Locale;
import java.util.Objects;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.Message;
import org.arbutusspar.core.flow.Decision;
import org.arbutusspar.io.KeyValueLine;

/**
 * Log message for a decision. It is formatted by the thread that writes the log, so that the
 * decision thread does not spend time on it.
 */
@AsynchronouslyFormattable
final class DecisionMessage implements Message {

  private static final long serialVersionUID = 1L;

  private final transient Decision decision;

  /**
   * Creates a message.
   *
   * @param decision the decision, not null
   */
  DecisionMessage(Decision decision) {
    this.decision = Objects.requireNonNull(decision, "decision");
  }

  @Override
  public String getFormattedMessage() {
    return KeyValueLine.event(decision.kind().name().toLowerCase(Locale.ROOT))
        .with("request", decision.request())
        .with("workspace", decision.workspace())
        .with("step", decision.step())
        .with("peer", decision.peer())
        .withPairs(decision.detail())
        .toString();
  }

  @Override
  public Object[] getParameters() {
    return new Object[0];
  }

  @Override
  public Throwable getThrowable() {
    return null;
  }
}

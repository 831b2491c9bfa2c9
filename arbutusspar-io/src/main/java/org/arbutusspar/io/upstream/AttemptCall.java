package org.arbutusspar.io.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.AttemptFailure;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.request.StageOutput;
import org.arbutusspar.core.request.StageOutputException;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCaller;
import org.eclipse.jetty.http.HttpFields;

/** One attempt on the wire: decodes its answer and tells its end exactly once. */
final class AttemptCall implements HttpCaller.StreamListener {

  private static final int MAX_ANSWER_BYTES = 8 << 20;
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final long UNANSWERED_NANOS = 1_000_000_000L;
  private static final String END_MARKER = "[DONE]";

  private final Action.Send send;
  private final Consumer<Event> onEnd;
  private final Consumer<Event> onPart;
  private final AtomicBoolean done = new AtomicBoolean();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private final SseParser events = SseParser.create(this::onData);
  private final long startNanos = System.nanoTime();
  private volatile boolean handedOver;
  private volatile boolean answering;
  private int status;
  private Optional<LoadReport> report = Optional.empty();
  private boolean ended;
  private String problem = "";

  private AttemptCall(Action.Send send, Consumer<Event> onEnd, Consumer<Event> onPart) {
    this.send = send;
    this.onEnd = onEnd;
    this.onPart = onPart;
  }

  static AttemptCall create(Action.Send send, Consumer<Event> onEnd, Consumer<Event> onPart) {
    return new AttemptCall(send, onEnd, onPart);
  }

  boolean isDone() {
    return done.get();
  }

  @Override
  public void onHandedOver() {
    handedOver = true;
  }

  /** Returns whether nothing of the answer has come for a while. */
  boolean isUnanswered() {
    return !answering && !isDone() && System.nanoTime() - startNanos > UNANSWERED_NANOS;
  }

  /**
   * Ends the attempt as silent if nothing of its answer has come for a while.
   *
   * @return whether the attempt was ended by this
   */
  boolean failIfUnanswered() {
    return isUnanswered()
        && end(
            new Event.AttemptFailed(
                send.attempt(),
                new AttemptFailure(AttemptFailure.Kind.SILENT, "connection is silent"),
                Optional.empty()));
  }

  @Override
  public void onHeaders(int code, HttpFields headers) {
    answering = true;
    status = code;
    report = LoadReports.fromHeaders(headers);
    String echoed = headers.get(UpstreamClient.IDENTITY);
    boolean expected = send.service().identityEcho() && code == STATUS_OK;
    if (echoed == null ? expected : !echoed.equals(send.attempt().wireForm())) {
      problem = "answer carries another identity";
    }
  }

  @Override
  public void onContent(ByteBuffer buffer) {
    try {
      if (isStream()) {
        events.accept(buffer);
      } else {
        append(buffer);
      }
    } catch (StageOutputException e) {
      problem = e.getMessage();
    }
  }

  private boolean isStream() {
    return send.service().kind() == StageKind.GENERATE && status == STATUS_OK;
  }

  private void append(ByteBuffer buffer) throws StageOutputException {
    if (body.size() + buffer.remaining() > MAX_ANSWER_BYTES) {
      throw new StageOutputException("answer is too large");
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
  }

  private void onData(String data) {
    if (ended || !problem.isEmpty()) {
      return;
    }
    if (data.equals(END_MARKER)) {
      ended = true;
      return;
    }
    try {
      JsonNode choice = Mappers.json().readTree(data).path("choices").path(0);
      addText(choice.path("delta").path("content").asText(""));
    } catch (JsonProcessingException e) {
      problem = "stream holds an event that is not JSON";
    }
  }

  private void addText(String part) {
    if (part.isEmpty()) {
      return;
    }
    if (text.length() + part.length() > MAX_ANSWER_BYTES) {
      problem = "answer is too large";
      return;
    }
    text.append(part);
    if (send.streaming()) {
      onPart.accept(new Event.TokenArrived(send.attempt(), part));
    }
  }

  @Override
  public void onSuccess() {
    if (!problem.isEmpty()) {
      fail(AttemptFailure.Kind.INVALID, problem);
    } else if (status != STATUS_OK) {
      fail(kindOf(status), "status " + status);
    } else if (isStream()) {
      endStream();
    } else {
      endBody();
    }
  }

  private void endStream() {
    if (ended) {
      reply(new StageOutput.Generated(text.toString(), true));
    } else {
      fail(AttemptFailure.Kind.LOST, "stream ended without its end marker");
    }
  }

  private void endBody() {
    try {
      reply(StageCodec.decode(send.service(), body.toString(StandardCharsets.UTF_8)));
    } catch (StageOutputException e) {
      fail(AttemptFailure.Kind.INVALID, e.getMessage());
    }
  }

  private static AttemptFailure.Kind kindOf(int status) {
    if (status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE) {
      return AttemptFailure.Kind.REFUSED;
    }
    return status >= FIRST_SERVER_ERROR ? AttemptFailure.Kind.ERROR : AttemptFailure.Kind.REJECTED;
  }

  @Override
  public void onFailure(Throwable cause) {
    AttemptFailure.Kind kind = handedOver ? AttemptFailure.Kind.LOST : AttemptFailure.Kind.NOT_SENT;
    fail(kind, cause.getClass().getSimpleName());
  }

  private void reply(StageOutput output) {
    end(new Event.Replied(send.attempt(), output, report));
  }

  private void fail(AttemptFailure.Kind kind, String message) {
    end(new Event.AttemptFailed(send.attempt(), new AttemptFailure(kind, message), report));
  }

  private boolean end(Event event) {
    boolean first = done.compareAndSet(false, true);
    if (first) {
      onEnd.accept(event);
    }
    return first;
  }
}

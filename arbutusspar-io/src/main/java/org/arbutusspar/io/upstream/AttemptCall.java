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

/** HTTP call of one attempt: decodes the response, and reports the end of the attempt once. */
final class AttemptCall implements HttpCaller.StreamListener {

  private static final int MAX_RESPONSE_BYTES = 8 << 20;
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /** Time without a response header after which an attempt counts as unanswered. */
  private static final long RESPONSE_START_TIMEOUT_NANOS = 1_000_000_000L;

  /** Data of the last event of a complete stream. */
  private static final String STREAM_END_MARKER = "[DONE]";

  private final Action.Send send;
  private final Consumer<Event> onEnd;
  private final Consumer<Event> onToken;
  private final AtomicBoolean done = new AtomicBoolean();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private final SseParser sseParser = SseParser.create(this::onData);
  private final long startNanos = System.nanoTime();
  private volatile boolean sendStarted;
  private volatile boolean responseStarted;
  private int status;
  private Optional<LoadReport> report = Optional.empty();
  private boolean endMarkerSeen;

  /** Reason why the response is invalid; empty if no fault was found so far. */
  private String problem = "";

  private AttemptCall(Action.Send send, Consumer<Event> onEnd, Consumer<Event> onToken) {
    this.send = send;
    this.onEnd = onEnd;
    this.onToken = onToken;
  }

  static AttemptCall create(Action.Send send, Consumer<Event> onEnd, Consumer<Event> onToken) {
    return new AttemptCall(send, onEnd, onToken);
  }

  boolean isDone() {
    return done.get();
  }

  @Override
  public void onSendStarted() {
    sendStarted = true;
  }

  /** Returns whether no response header has arrived within the response start timeout. */
  boolean isUnanswered() {
    return !responseStarted
        && !isDone()
        && System.nanoTime() - startNanos > RESPONSE_START_TIMEOUT_NANOS;
  }

  /**
   * Ends the attempt with a failure of the kind SILENT if it is unanswered.
   *
   * @return whether this call ended the attempt
   */
  boolean failIfUnanswered() {
    return isUnanswered()
        && end(
            new Event.AttemptFailed(
                send.attempt(),
                new AttemptFailure(
                    AttemptFailure.Kind.SILENT,
                    "no response on a connection that is considered dead"),
                Optional.empty()));
  }

  @Override
  public void onHeaders(int code, HttpFields headers) {
    responseStarted = true;
    status = code;
    report = LoadReports.fromHeaders(headers);
    String echoedId = headers.get(UpstreamClient.ATTEMPT_ID_HEADER);
    boolean echoRequired = send.service().identityEcho() && code == STATUS_OK;
    if (echoedId == null ? echoRequired : !echoedId.equals(send.attempt().wireForm())) {
      problem = "response does not carry the id of this attempt";
    }
  }

  @Override
  public void onContent(ByteBuffer buffer) {
    try {
      if (isStream()) {
        sseParser.accept(buffer);
      } else {
        appendToBody(buffer);
      }
    } catch (StageOutputException e) {
      problem = e.getMessage();
    }
  }

  private boolean isStream() {
    return send.service().kind() == StageKind.GENERATE && status == STATUS_OK;
  }

  private void appendToBody(ByteBuffer buffer) throws StageOutputException {
    if (body.size() + buffer.remaining() > MAX_RESPONSE_BYTES) {
      throw new StageOutputException("response is too large");
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    body.writeBytes(bytes);
  }

  private void onData(String data) {
    if (endMarkerSeen || !problem.isEmpty()) {
      return;
    }
    if (data.equals(STREAM_END_MARKER)) {
      endMarkerSeen = true;
      return;
    }
    try {
      JsonNode choice = Mappers.json().readTree(data).path("choices").path(0);
      addText(choice.path("delta").path("content").asText(""));
    } catch (JsonProcessingException e) {
      problem = "stream contains an event that is not JSON";
    }
  }

  private void addText(String part) {
    if (part.isEmpty()) {
      return;
    }
    if (text.length() + part.length() > MAX_RESPONSE_BYTES) {
      problem = "response is too large";
      return;
    }
    text.append(part);
    if (send.streaming()) {
      onToken.accept(new Event.TokenArrived(send.attempt(), part));
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
    if (endMarkerSeen) {
      succeed(new StageOutput.Generated(text.toString(), true));
    } else {
      fail(AttemptFailure.Kind.LOST, "stream ended without its end marker");
    }
  }

  private void endBody() {
    try {
      succeed(StageCodec.decode(send.service(), body.toString(StandardCharsets.UTF_8)));
    } catch (StageOutputException e) {
      fail(AttemptFailure.Kind.INVALID, e.getMessage());
    }
  }

  private static AttemptFailure.Kind kindOf(int status) {
    if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_SERVICE_UNAVAILABLE) {
      return AttemptFailure.Kind.REFUSED;
    }
    return status >= MIN_SERVER_ERROR_STATUS
        ? AttemptFailure.Kind.ERROR
        : AttemptFailure.Kind.REJECTED;
  }

  @Override
  public void onFailure(Throwable cause) {
    AttemptFailure.Kind kind =
        sendStarted ? AttemptFailure.Kind.LOST : AttemptFailure.Kind.NOT_SENT;
    fail(kind, cause.getClass().getSimpleName());
  }

  private void succeed(StageOutput output) {
    end(new Event.Replied(send.attempt(), output, report));
  }

  private void fail(AttemptFailure.Kind kind, String message) {
    end(new Event.AttemptFailed(send.attempt(), new AttemptFailure(kind, message), report));
  }

  /** Reports the end of the attempt, and returns whether this was the first call. */
  private boolean end(Event event) {
    boolean first = done.compareAndSet(false, true);
    if (first) {
      onEnd.accept(event);
    }
    return first;
  }
}

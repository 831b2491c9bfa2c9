package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.StreamHost;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * The client's side of a request: at most one answer is begun, and one that cannot be finished is
 * cut so that it does not look complete. Safe for use by several threads.
 */
final class ClientExchange {

  private enum State {
    UNANSWERED,
    STARTED,
    ENDED
  }

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final AtomicReference<State> state = new AtomicReference<>(State.UNANSWERED);

  private ClientExchange(Request request, Response response, Callback callback) {
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  static ClientExchange create(Request request, Response response, Callback callback) {
    return new ClientExchange(request, response, callback);
  }

  /** Calls a task once if the client closes the connection before the answer's end. */
  void onDisconnect(Runnable action) {
    StreamHost.onDisconnect(request, action);
  }

  /** Returns whether no answer has been begun. */
  boolean isUnanswered() {
    return state.get() == State.UNANSWERED;
  }

  /** Makes this the last answer on its connection. */
  void closeConnectionAfterResponse() {
    if (isUnanswered()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /**
   * Answers with a whole body.
   *
   * @return whether the answer was taken; it is not if another one has been begun
   */
  boolean respond(int status, List<HeaderField> fields, ByteBuffer body) {
    if (!state.compareAndSet(State.UNANSWERED, State.ENDED)) {
      return false;
    }
    StreamHost.clearOnDisconnect(request);
    setHeader(status, fields);
    response.write(true, body, callback);
    return true;
  }

  /** Begins an answer; returns whether it was begun, which it is not if there is another. */
  boolean startResponse(int status, List<HeaderField> fields) {
    if (!state.compareAndSet(State.UNANSWERED, State.STARTED)) {
      return false;
    }
    setHeader(status, fields);
    if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
      // Without it Jetty ends an answer on a closing connection by the close alone.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
    }
    return true;
  }

  private void setHeader(int status, List<HeaderField> fields) {
    response.setStatus(status);
    fields.forEach(field -> response.getHeaders().add(field.name(), field.value()));
  }

  /**
   * Passes on a part of an answer that was begun.
   *
   * @param part the part, not null
   * @param onWritten run once the part is written; not run if it cannot be
   */
  void writeContent(ByteBuffer part, Runnable onWritten) {
    if (state.get() == State.STARTED) {
      response.write(false, part, Callback.from(onWritten, cause -> {}));
    }
  }

  /** Ends an answer that was begun. */
  void endResponse() {
    if (state.compareAndSet(State.STARTED, State.ENDED)) {
      StreamHost.clearOnDisconnect(request);
      response.write(true, ByteBuffer.allocate(0), callback);
    }
  }

  /** Cuts the connection; an answer that was begun stays incomplete. */
  void abort(String reason) {
    EofException cause = new EofException(reason);
    State before = state.getAndSet(State.ENDED);
    if (before != State.ENDED) {
      StreamHost.clearOnDisconnect(request);
      StreamHost.reset(request, cause);
      callback.failed(cause);
    }
  }
}

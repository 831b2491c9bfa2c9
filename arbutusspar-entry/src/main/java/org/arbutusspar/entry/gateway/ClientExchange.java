package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusspar.core.routing.HeldBytes;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.StreamHost;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Exchange with a client: receives the response to one request. At most one response is started. A
 * response that cannot be completed is aborted by a connection reset, so that the client does not
 * take it for complete. Thread-safe.
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

  /** Parts that wait for the client; empty if the replica waits for it instead. */
  private final Optional<ResponseParts> parts;

  private ClientExchange(
      Request request, Response response, Callback callback, Optional<ResponseParts> parts) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.parts = parts;
  }

  static ClientExchange create(Request request, Response response, Callback callback) {
    return new ClientExchange(request, response, callback, Optional.empty());
  }

  /**
   * Returns an exchange in which a replica need not wait for a slow client.
   *
   * @param heldBytes counts the bytes that wait for clients, not null
   */
  static ClientExchange create(
      Request request, Response response, Callback callback, HeldBytes heldBytes) {
    return new ClientExchange(
        request, response, callback, Optional.of(ResponseParts.create(response, heldBytes)));
  }

  /**
   * Sets an action that runs at most once, when the client closes the connection before the end of
   * the response.
   *
   * @param action the action, not null
   */
  void onDisconnect(Runnable action) {
    StreamHost.onDisconnect(request, action);
  }

  /** Returns whether the client has closed the connection. */
  boolean isDisconnected() {
    return StreamHost.isDisconnected(request);
  }

  /** Returns whether no response has been started and the exchange has not been aborted. */
  boolean isUnanswered() {
    return state.get() == State.UNANSWERED;
  }

  /** Closes the connection after this response. No effect if the response has been started. */
  void closeConnectionAfterResponse() {
    if (isUnanswered()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  /**
   * Sends a complete response.
   *
   * @param status status code
   * @param fields header fields, not null
   * @param body the body, not null
   * @return false if another response has been started or the exchange has ended
   */
  boolean respond(int status, List<HeaderField> fields, ByteBuffer body) {
    if (!state.compareAndSet(State.UNANSWERED, State.ENDED)) {
      return false;
    }
    StreamHost.clearOnDisconnect(request);
    setHeader(status, fields);
    parts.ifPresent(waiting -> waiting.hold(body.remaining()));
    response.write(
        true, body, parts.map(waiting -> Callback.from(waiting::close, callback)).orElse(callback));
    return true;
  }

  /**
   * Starts a response whose body follows in parts.
   *
   * @param status status code
   * @param fields header fields, not null
   * @return false if another response has been started or the exchange has ended
   */
  boolean startResponse(int status, List<HeaderField> fields) {
    if (!state.compareAndSet(State.UNANSWERED, State.STARTED)) {
      return false;
    }
    setHeader(status, fields);
    if (!response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
      // Without this field, Jetty marks the end of a response only by closing the connection if
      // the connection is to be closed, so that a truncated response would look complete.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
    }
    return true;
  }

  private void setHeader(int status, List<HeaderField> fields) {
    response.setStatus(status);
    fields.forEach(field -> response.getHeaders().add(field.name(), field.value()));
  }

  /**
   * Writes a part of the body. Does nothing if no response is in progress.
   *
   * @param part the part, not null
   * @param onAccepted run when the next part may be written; not run if writing fails
   */
  void writeContent(ByteBuffer part, Runnable onAccepted) {
    if (state.get() != State.STARTED) {
      return;
    }
    if (parts.isPresent()) {
      parts.get().write(part, onAccepted);
    } else {
      response.write(false, part, Callback.from(onAccepted, cause -> {}));
    }
  }

  /**
   * Completes the response in progress once its parts are written. Does nothing if there is none.
   *
   * @param whenEnded run by another thread when the response has been completed, unless that is
   *     before this method returns; not run if writing fails, which ends in a disconnect
   * @return whether parts still wait for the client
   */
  boolean endResponse(Runnable whenEnded) {
    if (parts.isPresent() && state.get() == State.STARTED) {
      return parts
          .get()
          .end(
              this::completeResponse,
              () -> {
                completeResponse();
                whenEnded.run();
              });
    }
    completeResponse();
    return false;
  }

  private void completeResponse() {
    if (state.compareAndSet(State.STARTED, State.ENDED)) {
      StreamHost.clearOnDisconnect(request);
      response.write(true, ByteBuffer.allocate(0), callback);
    }
  }

  /**
   * Resets the connection unless the exchange has ended. A response in progress stays incomplete.
   *
   * @param reason message of the failure that the server reports
   */
  void abort(String reason) {
    EofException cause = new EofException(reason);
    State before = state.getAndSet(State.ENDED);
    parts.ifPresent(ResponseParts::close);
    if (before != State.ENDED) {
      StreamHost.clearOnDisconnect(request);
      StreamHost.reset(request, cause);
      callback.failed(cause);
    }
  }
}

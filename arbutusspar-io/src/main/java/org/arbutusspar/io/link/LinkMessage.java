package org.arbutusspar.io.link;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;

/** Message that entry instances exchange on a {@link Link}, encoded by {@link LinkCodec}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = LinkMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = LinkMessage.Challenge.class, name = "challenge"),
  @JsonSubTypes.Type(value = LinkMessage.Join.class, name = "join"),
  @JsonSubTypes.Type(value = LinkMessage.Welcome.class, name = "welcome"),
  @JsonSubTypes.Type(value = LinkMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = LinkMessage.Submit.class, name = "submit"),
  @JsonSubTypes.Type(value = LinkMessage.Ask.class, name = "ask"),
  @JsonSubTypes.Type(value = LinkMessage.Result.class, name = "result"),
  @JsonSubTypes.Type(value = LinkMessage.ConfigPull.class, name = "pull"),
  @JsonSubTypes.Type(value = LinkMessage.ConfigPush.class, name = "push")
})
public sealed interface LinkMessage {

  /** Protocol version. The handshake fails if the two instances use different versions. */
  int VERSION = 1;

  /**
   * First handshake message, sent by the instance that opens the link.
   *
   * @param version protocol version of the sender
   * @param nonce random bytes that the accepter's proof must cover
   */
  record Hello(int version, byte[] nonce) implements LinkMessage {}

  /**
   * Second handshake message, sent by the instance that accepts the link.
   *
   * @param version protocol version of the sender
   * @param nonce random bytes that the opener's proof must cover
   * @param self membership record of the sender
   * @param proof HMAC, under the shared secret, of both nonces and the sender's identity
   */
  record Challenge(int version, byte[] nonce, MemberRecord self, byte[] proof)
      implements LinkMessage {}

  /**
   * Third handshake message, sent by the instance that opens the link.
   *
   * @param self membership record of the sender
   * @param proof HMAC, under the shared secret, of both nonces and the sender's identity
   */
  record Join(MemberRecord self, byte[] proof) implements LinkMessage {}

  /** Last handshake message, sent by the accepter: the opener's proof is valid. */
  record Welcome() implements LinkMessage {}

  /**
   * Heartbeat, sent at a fixed interval by the instance that opened the link. The other instance
   * responds with a heartbeat of its own.
   *
   * @param revision revision of the configuration in force at the sender
   * @param active number of requests at the sender that are admitted and have no outcome yet
   * @param reply whether this message responds to a heartbeat
   * @param members membership records that the sender gossips
   */
  record Heartbeat(long revision, int active, boolean reply, List<MemberRecord> members)
      implements LinkMessage {}

  /**
   * Submits a request to its home instance, which responds with a {@link Result}.
   *
   * @param call call number, unique on this link
   * @param request the request; its deadline is a time of the sender's clock and has no meaning at
   *     the receiver
   * @param remainingMillis time left until the deadline, in milliseconds
   */
  record Submit(long call, Request request, long remainingMillis) implements LinkMessage {}

  /**
   * Asks the home instance of a request for the request's outcome. The response is a {@link
   * Result}.
   *
   * @param call call number, unique on this link
   * @param key key of the request
   * @param remainingMillis how long the caller waits, in milliseconds
   */
  record Ask(long call, RequestKey key, long remainingMillis) implements LinkMessage {}

  /**
   * Responds to a {@link Submit} or an {@link Ask}.
   *
   * @param call number of that call
   * @param outcome outcome of the request
   */
  record Result(long call, Outcome outcome) implements LinkMessage {}

  /**
   * Requests the receiver's configuration if it is newer than the sender's.
   *
   * @param revision revision of the sender's configuration
   */
  record ConfigPull(long revision) implements LinkMessage {}

  /**
   * Sends the configuration in force at the sender.
   *
   * @param state the configuration; empty if the sender's is not newer than the receiver's
   */
  record ConfigPush(Optional<ConfigState> state) implements LinkMessage {}
}

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

/** What instances say to each other. */
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

  /** Version of this protocol. Instances of different versions do not link. */
  int VERSION = 1;

  /**
   * First word of who opens a link.
   *
   * @param version version of the protocol
   * @param nonce random bytes
   */
  record Hello(int version, byte[] nonce) implements LinkMessage {}

  /**
   * First word of who accepts a link.
   *
   * @param version version of the protocol
   * @param nonce random bytes
   * @param self who it is
   * @param proof proof of the shared secret over both nonces
   */
  record Challenge(int version, byte[] nonce, MemberRecord self, byte[] proof)
      implements LinkMessage {}

  /**
   * Second word of who opens a link.
   *
   * @param self who it is
   * @param proof proof of the shared secret over both nonces
   */
  record Join(MemberRecord self, byte[] proof) implements LinkMessage {}

  /** Last word of the handshake: the link is up. */
  record Welcome() implements LinkMessage {}

  /**
   * Sent at a fixed interval by who opened the link, and answered in kind.
   *
   * @param revision revision of the configuration in force at the sender
   * @param active requests that the sender has between admission and outcome
   * @param reply whether this answers a heartbeat
   * @param members what the sender tells of instances
   */
  record Heartbeat(long revision, int active, boolean reply, List<MemberRecord> members)
      implements LinkMessage {}

  /**
   * Hands a request to its home.
   *
   * @param call number of the call on this link
   * @param request the request; its deadline is on the sender's clock and not to be used
   * @param remainingMillis time left until its deadline
   */
  record Submit(long call, Request request, long remainingMillis) implements LinkMessage {}

  /**
   * Asks the home of a request for its outcome.
   *
   * @param call number of the call on this link
   * @param key identity of the request
   * @param remainingMillis how long the caller waits
   */
  record Ask(long call, RequestKey key, long remainingMillis) implements LinkMessage {}

  /**
   * Answers a call.
   *
   * @param call number of the call
   * @param outcome the outcome
   */
  record Result(long call, Outcome outcome) implements LinkMessage {}

  /**
   * Asks for the configuration.
   *
   * @param revision revision that the sender has
   */
  record ConfigPull(long revision) implements LinkMessage {}

  /**
   * Hands on the configuration in force at the sender.
   *
   * @param state the configuration; empty if the sender has none newer
   */
  record ConfigPush(Optional<ConfigState> state) implements LinkMessage {}
}

package org.arbutusspar.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.member.AddressBook;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.member.MemberStatus;
import org.arbutusspar.core.member.Membership;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.io.KeyValueLine;
import org.arbutusspar.io.link.Link;
import org.arbutusspar.io.link.LinkHandler;
import org.arbutusspar.io.link.LinkMessage;
import org.arbutusspar.io.link.LinkSecret;
import org.arbutusspar.io.link.Links;

/**
 * Communication of an instance with its peers over links: membership gossip with heartbeats,
 * forwarded requests and queries, and the exchange of configurations.
 *
 * <p>All state is confined to the decision thread, except {@link #self()}, which is thread-safe.
 * The callbacks of the links post a task to that thread.
 */
final class PeerLinks implements LinkHandler, DecisionRuntime.Forwarder, AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(PeerLinks.class);

  /** Time between heartbeats while the instance has links to all peers, in nanoseconds. */
  private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which a link stays open that was opened for one call, in nanoseconds. */
  private static final long EXTRA_LINK_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Maximum number of calls to peers that wait for an outcome; further ones fail at once. */
  private static final int MAX_PENDING_CALLS = 20_000;

  private final Membership membership;
  private final AddressBook addresses;
  private final DecisionRuntime runtime;
  private final DecisionLoop loop;
  private final ConfigSync config;
  private final Map<Long, PendingCall> pendingCalls = new HashMap<>();

  /**
   * Endpoints of links that were opened for calls, with the monotonic time at which they expire.
   */
  private final Map<Endpoint, Long> extraLinkExpiryNanos = new HashMap<>();

  private final Map<Home, Long> peerRevisions = new HashMap<>();
  private Links links;
  private long nextCallNumber;
  private long lastHeartbeatNanos;

  /** Reachable peers as last reported to the coordinator. */
  private Set<Home> reportedPeers = Set.of();

  private volatile MemberRecord self;

  private PeerLinks(
      Membership membership,
      AddressBook addresses,
      DecisionRuntime runtime,
      DecisionLoop loop,
      ConfigSync config) {
    this.membership = membership;
    this.addresses = addresses;
    this.runtime = runtime;
    this.loop = loop;
    this.config = config;
    this.self = membership.self();
  }

  /**
   * Returns the peer communication of an instance.
   *
   * @param membership membership of the instance, not null
   * @param addresses gets the load of peers, not null
   * @param runtime runs the requests of peers and gets the outcomes from them, not null
   * @param loop loop of the decision thread, not null
   * @param config configuration of the instance, not null
   * @return the peer communication; {@link #start} must be called before the first tick
   */
  static PeerLinks create(
      Membership membership,
      AddressBook addresses,
      DecisionRuntime runtime,
      DecisionLoop loop,
      ConfigSync config) {
    return new PeerLinks(
        Objects.requireNonNull(membership, "membership"),
        Objects.requireNonNull(addresses, "addresses"),
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(config, "config"));
  }

  /**
   * Starts to accept links and to open them.
   *
   * @param secret secret that all instances of the deployment share, not null
   */
  void start(LinkSecret secret) {
    links = Links.start(self.links(), secret, this);
  }

  /** Returns the membership. */
  Membership membership() {
    return membership;
  }

  /**
   * Returns the configuration revision that a peer last reported.
   *
   * @param home incarnation of the peer, not null
   * @return the revision, or -1 if the peer has sent no heartbeat to this instance
   */
  long revisionOf(Home home) {
    return peerRevisions.getOrDefault(home, -1L);
  }

  /** Returns the number of open links that this instance initiated. */
  int linkCount() {
    return links.outgoing().size();
  }

  /**
   * Applies membership timeouts, removes expired calls and extra links, and sends heartbeats when
   * they are due.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void onTick(long nowNanos) {
    membership.onTick(nowNanos);
    extraLinkExpiryNanos.values().removeIf(expiryNanos -> nowNanos >= expiryNanos);
    removeExpiredCalls(nowNanos);
    applyMembership();
    if (nowNanos - lastHeartbeatNanos >= heartbeatIntervalNanos()) {
      lastHeartbeatNanos = nowNanos;
      sendHeartbeats();
    }
  }

  /**
   * Returns the time between heartbeats. It is twice as long in a deployment with more peers than
   * links, to limit the cost of gossip.
   */
  private long heartbeatIntervalNanos() {
    boolean fullyLinked = reportedPeers.size() <= Membership.MAX_LINKED_PEERS;
    return fullyLinked ? HEARTBEAT_INTERVAL_NANOS : 2 * HEARTBEAT_INTERVAL_NANOS;
  }

  private void sendHeartbeats() {
    for (Link link : links.outgoing()) {
      link.send(heartbeat(link.peer().home(), false));
    }
  }

  /** Returns a heartbeat for a peer; counts the gossip in it as sent. */
  private LinkMessage.Heartbeat heartbeat(Home peer, boolean isReply) {
    return new LinkMessage.Heartbeat(
        config.revision(),
        runtime.coordinator().status().active(),
        isReply,
        membership.gossipFor(peer));
  }

  /**
   * Applies the present membership to the links, and reports a changed set of reachable peers to
   * the coordinator. Suspect peers count as unreachable.
   */
  private void applyMembership() {
    self = membership.self();
    Set<Endpoint> targets = new HashSet<>(membership.linkTargets());
    targets.addAll(extraLinkExpiryNanos.keySet());
    links.setTargets(targets);
    Set<Home> reachable =
        membership.serving().stream()
            .filter(m -> m.status() != MemberStatus.SUSPECT)
            .map(MemberRecord::home)
            .filter(home -> !home.equals(self.home()))
            .collect(Collectors.toSet());
    if (!reachable.equals(reportedPeers)) {
      reportedPeers = reachable;
      peerRevisions.keySet().retainAll(reachable);
      runtime.handle(new Event.PeersChanged(reachable, reachable.size() + 1));
      failUnreachableCalls();
      LOG.info(KeyValueLine.event("members").with("live", reachable.size() + 1));
    }
  }

  /** Notifies the peers that this instance is leaving. */
  void leave() {
    membership.leave();
    applyMembership();
    sendHeartbeats();
  }

  /** Notifies the peers that this instance is about to stop. */
  void stop() {
    membership.stop();
    sendHeartbeats();
  }

  @Override
  public MemberRecord self() {
    return self;
  }

  @Override
  public void onUp(Link link) {
    loop.post(
        () -> {
          LOG.info(KeyValueLine.event("link-up").with("peer", link.peer().home()));
          membership.onLinkUp(link.peer(), System.nanoTime());
          link.send(heartbeat(link.peer().home(), false));
          sendPendingCalls(link);
        });
  }

  @Override
  public void onDown(Link link) {
    loop.post(() -> LOG.info(KeyValueLine.event("link-down").with("peer", link.peer().home())));
  }

  @Override
  public void onFailed(Endpoint endpoint, String reason) {
    loop.post(
        () -> {
          LOG.info(KeyValueLine.event("link-failed").with("peer", endpoint).with("reason", reason));
          membership.onLinkFailed(endpoint, System.nanoTime());
        });
  }

  @Override
  public void onMessage(Link link, LinkMessage message) {
    loop.post(() -> receive(link, message));
  }

  private void receive(Link link, LinkMessage message) {
    if (message instanceof LinkMessage.Heartbeat heartbeat) {
      onHeartbeat(link, heartbeat);
    } else if (message instanceof LinkMessage.Submit submit) {
      Request request = withDeadline(submit.request(), submit.remainingMillis());
      CallerId caller = runtime.register(new LinkReplyTarget(link, submit.call()));
      runtime.handle(new Event.Arrive(request, caller, false));
    } else if (message instanceof LinkMessage.Ask ask) {
      CallerId caller = runtime.register(new LinkReplyTarget(link, ask.call()));
      runtime.handle(new Event.Ask(ask.key(), caller, deadlineNanos(ask.remainingMillis())));
    } else if (message instanceof LinkMessage.Result result) {
      PendingCall call = pendingCalls.remove(result.call());
      if (call != null) {
        runtime.handle(new Event.ForwardReplied(call.caller(), result.outcome()));
      }
    } else if (message instanceof LinkMessage.ConfigPull pull) {
      link.send(new LinkMessage.ConfigPush(config.stateIfNewerThan(pull.revision())));
    } else if (message instanceof LinkMessage.ConfigPush push) {
      push.state().ifPresent(config::adopt);
    }
  }

  private void onHeartbeat(Link link, LinkMessage.Heartbeat heartbeat) {
    Home peer = link.peer().home();
    membership.onGossip(heartbeat.members(), System.nanoTime());
    addresses.onLoad(peer, heartbeat.active());
    peerRevisions.put(peer, heartbeat.revision());
    if (!heartbeat.reply()) {
      link.send(heartbeat(peer, true));
    }
    if (heartbeat.revision() > config.revision() && config.isStale()) {
      link.send(new LinkMessage.ConfigPull(config.revision()));
    }
  }

  /** Returns the deadline on the local monotonic clock, which no other instance shares. */
  private static long deadlineNanos(long remainingMillis) {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
  }

  /** Returns a copy of a peer's request whose deadline is a time of the local clock. */
  private static Request withDeadline(Request request, long remainingMillis) {
    return new Request(
        request.key(),
        request.target(),
        request.data(),
        request.repeatable(),
        request.keepAnswer(),
        deadlineNanos(remainingMillis),
        request.fingerprint());
  }

  @Override
  public void submit(Action.ForwardRequest forward) {
    Request request = forward.request();
    sendToHome(
        new PendingCall(forward.home(), request.key(), forward.caller(), request.deadlineNanos()),
        request);
  }

  @Override
  public void ask(Action.ForwardAsk ask) {
    sendToHome(
        new PendingCall(ask.home(), ask.key(), ask.caller(), deadlineNanos(ask.remainingMillis())),
        null);
  }

  /**
   * Sends a call to its home. If there is no link, opens one, which sends the call when it is up.
   *
   * @param call the call
   * @param request request to submit; null to query an outcome
   */
  private void sendToHome(PendingCall call, Request request) {
    if (pendingCalls.size() >= MAX_PENDING_CALLS) {
      runtime.handle(new Event.ForwardLost(call.caller()));
      return;
    }
    long number = nextCallNumber++;
    pendingCalls.put(number, call);
    call.request = request;
    links
        .find(call.home())
        .ifPresentOrElse(link -> send(link, number, call), () -> openExtraLink(call.home()));
  }

  /** Opens a link to a peer that is no link target of the membership. It is closed on expiry. */
  private void openExtraLink(Home home) {
    membership.serving().stream()
        .filter(m -> m.home().equals(home))
        .findFirst()
        .ifPresent(
            m ->
                extraLinkExpiryNanos.put(m.links(), System.nanoTime() + EXTRA_LINK_LIFETIME_NANOS));
    applyMembership();
  }

  /**
   * Sends a call on a link. A request is submitted only once, because the home may have received it
   * although the link was lost. On a new link, only its outcome is queried. The response is final:
   * once the home has reported that a request did not run, it does not start it.
   */
  private static void send(Link link, long number, PendingCall call) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos() - System.nanoTime());
    if (call.request == null) {
      link.send(new LinkMessage.Ask(number, call.key(), remainingMillis));
    } else {
      link.send(new LinkMessage.Submit(number, call.request, remainingMillis));
      call.request = null;
    }
  }

  /** Sends all pending calls to the peer of a new link. */
  private void sendPendingCalls(Link link) {
    pendingCalls.forEach(
        (number, call) -> {
          if (call.home().equals(link.peer().home())) {
            send(link, number, call);
          }
        });
  }

  /** Fails the pending calls to peers that are no longer reachable. */
  private void failUnreachableCalls() {
    List<Long> unreachable =
        pendingCalls.entrySet().stream()
            .filter(e -> !reportedPeers.contains(e.getValue().home()))
            .map(Map.Entry::getKey)
            .toList();
    for (Long number : unreachable) {
      runtime.handle(new Event.ForwardLost(pendingCalls.remove(number).caller()));
    }
  }

  /**
   * Removes calls whose deadline passed more than one heartbeat interval ago. Their callers have
   * already got an outcome from the coordinator.
   */
  private void removeExpiredCalls(long nowNanos) {
    pendingCalls
        .values()
        .removeIf(call -> nowNanos - call.deadlineNanos() > HEARTBEAT_INTERVAL_NANOS);
  }

  @Override
  public void close() {
    links.close();
  }

  /** A request or query that was forwarded to its home and has no outcome yet. */
  private static final class PendingCall {
    private final Home home;
    private final RequestKey key;
    private final CallerId caller;
    private final long deadlineNanos;

    /** Request to submit; null once it was submitted, and for a query. */
    private Request request;

    private PendingCall(Home home, RequestKey key, CallerId caller, long deadlineNanos) {
      this.home = home;
      this.key = key;
      this.caller = caller;
      this.deadlineNanos = deadlineNanos;
    }

    private Home home() {
      return home;
    }

    private RequestKey key() {
      return key;
    }

    private CallerId caller() {
      return caller;
    }

    private long deadlineNanos() {
      return deadlineNanos;
    }
  }

  /** Sends the outcome of a forwarded request or query back to the peer, on the same link. */
  private record LinkReplyTarget(Link link, long call) implements ReplyTarget {
    @Override
    public void reply(RequestKey key, Outcome outcome) {
      link.send(new LinkMessage.Result(call, outcome));
    }
  }
}

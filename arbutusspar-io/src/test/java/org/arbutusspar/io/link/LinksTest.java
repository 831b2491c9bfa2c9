package org.arbutusspar.io.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.member.MemberStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the handshake, the idle timeout and the reconnects of links, over loopback sockets. */
class LinksTest {

  private static final LinkSecret SHARED_SECRET = LinkSecret.of("a-secret-of-sixteen-bytes");
  private static final long WAIT_SECONDS = 5;
  private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_000);

  private final List<AutoCloseable> closeables = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable each : closeables) {
      each.close();
    }
  }

  /** Records the events of the links of one instance, and responds to each ConfigPull. */
  private static final class Recorder implements LinkHandler {
    private final MemberRecord self;
    private final BlockingQueue<Link> established = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> ended = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> failed = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkMessage> messages = new LinkedBlockingQueue<>();

    private Recorder(MemberRecord self) {
      this.self = self;
    }

    @Override
    public MemberRecord self() {
      return self;
    }

    @Override
    public void onUp(Link link) {
      established.add(link);
    }

    @Override
    public void onDown(Link link) {
      ended.add(link);
    }

    @Override
    public void onFailed(Endpoint endpoint, String reason) {
      failed.add(reason);
    }

    @Override
    public void onMessage(Link link, LinkMessage message) {
      messages.add(message);
      if (message instanceof LinkMessage.ConfigPull pull) {
        link.send(new LinkMessage.ConfigPull(pull.revision() + 1));
      }
    }
  }

  /**
   * Returns an unused endpoint. Its port lies below the ephemeral range, so that no outgoing
   * connection takes it before the test listens on it.
   */
  private static Endpoint freeEndpoint() throws IOException {
    String host = "127." + (100 + ProcessHandle.current().pid() % 100) + ".0.1";
    while (true) {
      int port = NEXT_PORT.getAndIncrement();
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
        return new Endpoint(host, socket.getLocalPort());
      } catch (BindException e) {
        // The port is in use; try the next one.
      }
    }
  }

  private Recorder start(String name, LinkSecret secret) throws IOException {
    Endpoint endpoint = freeEndpoint();
    Recorder recorder =
        new Recorder(
            new MemberRecord(
                new Home(InstanceId.of(name), 7),
                1,
                endpoint,
                endpoint,
                DataCentre.of("dc"),
                MemberStatus.LIVE,
                1));
    Links links = Links.start(endpoint, secret, recorder);
    closeables.add(links);
    startedLinks.add(links);
    return recorder;
  }

  private final List<Links> startedLinks = new ArrayList<>();

  @Test
  void messagesTravelBothWaysBetweenInstancesThatShareTheSecret() throws Exception {
    Recorder a = start("a", SHARED_SECRET);
    Recorder b = start("b", SHARED_SECRET);
    startedLinks.get(0).setTargets(List.of(b.self.links()));
    Link link = a.established.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertEquals(b.self, link.peer());
    link.send(new LinkMessage.ConfigPull(41));
    assertEquals(new LinkMessage.ConfigPull(41), b.messages.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    assertEquals(new LinkMessage.ConfigPull(42), a.messages.poll(WAIT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void peerWithAnotherSecretIsNotLinked() throws Exception {
    Recorder a = start("a", LinkSecret.of("another-secret-of-sixteen"));
    Recorder b = start("b", SHARED_SECRET);
    startedLinks.get(0).setTargets(List.of(b.self.links()));
    assertNotNull(a.failed.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    assertNull(a.established.poll());
    assertTrue(b.messages.isEmpty());
  }

  /** Sends lengths that are negative, zero or too large, and a body that is not MessagePack. */
  @Test
  void malformedFramesCloseOnlyTheirOwnConnection() throws Exception {
    Recorder a = start("a", SHARED_SECRET);
    Recorder b = start("b", SHARED_SECRET);
    for (int length : new int[] {-1, 0, Integer.MAX_VALUE, 5_000, 3}) {
      try (Socket socket = new Socket(b.self.links().host(), b.self.links().port())) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(length);
        out.write(new byte[] {1, 2, 3});
        out.flush();
        socket.setSoTimeout(5_000);
        assertEquals(
            -1, socket.getInputStream().read(), "connection with a malformed frame is not closed");
      }
    }
    startedLinks.get(0).setTargets(List.of(b.self.links()));
    assertNotNull(a.established.poll(WAIT_SECONDS, TimeUnit.SECONDS));
  }

  /** Nobody sends heartbeats here, so that each link is idle from its start. */
  @Test
  void idleLinkIsClosedWithinTheIdleTimeoutAndReopened() throws Exception {
    Recorder a = start("a", SHARED_SECRET);
    Recorder b = start("b", SHARED_SECRET);
    startedLinks.get(0).setTargets(List.of(b.self.links()));
    assertNotNull(a.established.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    long start = System.nanoTime();
    assertNotNull(a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS), "idle link was not closed");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertTrue(millis <= Link.IDLE_TIMEOUT_MILLIS + 500, "took " + millis + " ms");
    assertNotNull(a.established.poll(WAIT_SECONDS, TimeUnit.SECONDS), "link was not reopened");
    assertTrue(
        a.failed.isEmpty(), "closing an idle link was reported as a failed connection attempt");
  }

  @Test
  void linkToRemovedTargetIsClosed() throws Exception {
    Recorder a = start("a", SHARED_SECRET);
    Recorder b = start("b", SHARED_SECRET);
    startedLinks.get(0).setTargets(List.of(b.self.links()));
    assertNotNull(a.established.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    startedLinks.get(0).setTargets(List.of());
    assertNotNull(a.ended.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    assertTrue(startedLinks.get(0).outgoing().isEmpty());
  }

  /** Heartbeats are the most frequent messages; the bounds guard against accidental growth. */
  @Test
  void heartbeatAndMemberRecordStayWithinTheirSizeBounds() throws IOException {
    Recorder a = start("a", SHARED_SECRET);
    int empty = LinkCodec.encode(new LinkMessage.Heartbeat(9_000, 12, false, List.of())).length;
    int one = LinkCodec.encode(new LinkMessage.Heartbeat(9_000, 12, false, List.of(a.self))).length;
    System.out.printf("heartbeat: %d bytes, plus %d for each member record%n", empty, one - empty);
    assertTrue(empty <= 80, "heartbeat has " + empty + " bytes");
    assertTrue(one - empty <= 130, "member record has " + (one - empty) + " bytes");
  }
}

package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.StorePosition;
import org.arbutusspar.io.link.PeerCodec;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.junit.jupiter.api.Test;

/** Tests that a version is in force in time at an instance that relies on peers for it. */
class LateConfigurationTest extends GatewayRig {

  /** Number of instances that read the store for the whole deployment. */
  private static final int READERS = 3;

  /** Era that the stand-in of the store states at first. */
  private static final long STORE_ERA = 1;

  /** Maximum time for a version to be in force in deployments of 60 instances or more. */
  private static final long MAX_APPLY_MILLIS_IN_LARGE_DEPLOYMENT = 3_000;

  private int sent;

  private boolean accepts(Instance instance, String key) {
    return call(instance, "/p/x", "c" + sent++, key).status() == 200;
  }

  /**
   * An instance kept an old version for as long as the instances that had announced a later one
   * sent heartbeats, but did not send the configuration.
   */
  @Test
  void versionIsInForceInTimeIfPeersAnnounceItButDoNotSendIt() throws IOException {
    List<FakePeer> readers = new ArrayList<>();
    for (int i = 1; i <= READERS; i++) {
      readers.add(closeAfterTest(FakePeer.start("r-" + i, freeEndpoint("127.0.0.1" + i))));
    }
    List<Endpoint> seeds = readers.stream().map(FakePeer::links).toList();
    Instance instance = startInstance("e-1", FIRST_ADDRESS, seeds);
    await(() -> accepts(instance, "key"));
    // The instance stops reading the store once the others announce that they reach it.
    sleep(2_000);
    store.putConfiguration(SampleTraffic.configuration(2, "new"));
    readers.forEach(reader -> reader.announceConfiguration(StorePosition.of(STORE_ERA, 2)));
    await(() -> accepts(instance, "new"), MAX_APPLY_MILLIS);
    assertTrue(readers.stream().anyMatch(reader -> reader.requests() > 0));
  }

  /**
   * An instance with a slow link never had a version in force, since it read all versions since the
   * last one in a single call, which timed out each time.
   */
  @Test
  void versionIsInForceInTimeIfReadsOfAllVersionsTimeOut() throws IOException {
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of());
    await(() -> accepts(instance, "key"));
    store.setFault(StoreStandin.Fault.READS_LOST);
    for (int version = 2; version <= 4; version++) {
      String key = "key-" + version;
      store.putConfiguration(SampleTraffic.configuration(version, key));
      await(() -> accepts(instance, key), MAX_APPLY_MILLIS_IN_LARGE_DEPLOYMENT);
    }
  }

  /**
   * A link was closed in the middle of a large message, since heartbeats waited behind it. Each
   * further attempt began anew, so that the message never arrived.
   */
  @Test
  void linkStaysOpenWhileLargeMessageArrives() throws Exception {
    Endpoint links = freeEndpoint("127.0.0.11");
    try (ServerSocket server = new ServerSocket(links.port(), 1, address(links))) {
      startInstance("e-1", FIRST_ADDRESS, List.of(links));
      try (Socket socket = server.accept()) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        Peer self = new Peer("r-1", 1, DataCentre.of("a"), links, links, 800);
        writeFrame(out, new PeerMessage.Hello(self, List.of()));
        writeFrame(out, new PeerMessage.Heartbeat(PeerStatus.UNKNOWN));
        out.writeInt(1 << 20);
        socket.setSoTimeout(1);
        long end = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() - end < 0) {
          out.write(new byte[1_000]);
          sleep(100);
          assertTrue(isOpen(socket), "closed by the instance");
        }
      }
    }
  }

  private static InetAddress address(Endpoint endpoint) throws IOException {
    return InetAddress.getByName(endpoint.host());
  }

  private static void writeFrame(DataOutputStream out, PeerMessage message) throws IOException {
    byte[] body = PeerCodec.encode(message, 0);
    out.writeInt(body.length);
    out.write(body);
  }

  /** Returns whether the other side has not closed a connection; discards what it has sent. */
  private static boolean isOpen(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read(new byte[64 * 1_024]) >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    }
  }
}

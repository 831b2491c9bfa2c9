package org.arbutusspar.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.member.MemberStatus;
import org.arbutusspar.core.member.Membership;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.link.LinkMessage;

/**
 * Measures the traffic of the membership protocol for deployments of increasing size. All instances
 * run in one process and exchange heartbeats in lock-step rounds, without a network. The bytes are
 * those of the link frames, without TCP and IP headers.
 */
public final class MembershipFigures {

  private static final long HEARTBEAT_INTERVAL_NANOS = Nanos.ofMillis(500);
  private static final double SECONDS_PER_ROUND = 0.5;

  /** Rounds before the measurement, in which the instances discover each other. */
  private static final int SETTLE_ROUNDS = 120;

  /** Rounds over which the traffic without changes of the membership is measured. */
  private static final int STEADY_ROUNDS = 60;

  /** Maximum number of rounds until all instances have detected a dead one. */
  private static final int MAX_DETECTION_ROUNDS = 200;

  /** Length prefix of a frame. */
  private static final int FRAME_HEADER_BYTES = 4;

  private static final int HOSTS_PER_SUBNET = 250;
  private static final int[] SIZES = {9, 20, 45, 90, 170, 340};

  private final List<Membership> members = new ArrayList<>();
  private final Map<Endpoint, Integer> indexByEndpoint = new HashMap<>();

  /** Index of the instance that has died, or -1 if none has. */
  private int deadIndex = -1;

  private long now;
  private long messages;
  private long bytes;

  private MembershipFigures(int size) {
    List<Endpoint> seeds = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      seeds.add(record(i).links());
    }
    for (int i = 0; i < size; i++) {
      Membership member = Membership.create(record(i));
      member.onListed(seeds);
      members.add(member);
      indexByEndpoint.put(record(i).links(), i);
    }
  }

  private static MemberRecord record(int i) {
    String host = "10.0." + i / HOSTS_PER_SUBNET + "." + (1 + i % HOSTS_PER_SUBNET);
    return new MemberRecord(
        new Home(InstanceId.of("entry-" + i), 0x5a5a5a5a5a5aL + i),
        1_796_000_000_000L,
        new Endpoint(host, 7_100),
        new Endpoint(host, 7_200),
        DataCentre.of("dc-" + i % 9),
        MemberStatus.LIVE,
        1);
  }

  /**
   * Prints one line for each size: links of an instance, messages sent a second by an instance,
   * bytes a second in both directions, seconds until all instances have detected the death of one,
   * and bytes a second in both directions during this detection.
   *
   * @param args not used
   * @throws JsonProcessingException if a message cannot be encoded
   */
  public static void main(String[] args) throws JsonProcessingException {
    System.out.println(
        "instances links sent/s bytes/s(sent+received) deathKnownAfter bytes/s(then)");
    for (int size : SIZES) {
      new MembershipFigures(size).print(size);
    }
  }

  private void print(int size) throws JsonProcessingException {
    run(SETTLE_ROUNDS);
    messages = 0;
    bytes = 0;
    run(STEADY_ROUNDS);
    double seconds = STEADY_ROUNDS * SECONDS_PER_ROUND;
    final double sentPerSecond = messages / seconds / size;
    final double steadyBytesPerSecond = 2 * bytes / seconds / size;
    final int links = members.get(0).linkTargets().size();
    deadIndex = size / 2;
    bytes = 0;
    int rounds = 0;
    while (!isAgreed(size - 1) && rounds < MAX_DETECTION_ROUNDS) {
      run(1);
      rounds++;
    }
    double detectionBytesPerSecond = 2 * bytes / (rounds * SECONDS_PER_ROUND) / size;
    System.out.printf(
        "%9d %5d %6.1f %23.0f %15.1f %14.0f%n",
        size,
        links,
        sentPerSecond,
        steadyBytesPerSecond,
        rounds * SECONDS_PER_ROUND,
        detectionBytesPerSecond);
  }

  /** Returns whether each live instance knows the expected number of serving instances. */
  private boolean isAgreed(int expectedServing) {
    for (int i = 0; i < members.size(); i++) {
      if (i != deadIndex && members.get(i).serving().size() != expectedServing) {
        return false;
      }
    }
    return true;
  }

  private void run(int rounds) throws JsonProcessingException {
    for (int r = 0; r < rounds; r++) {
      now += HEARTBEAT_INTERVAL_NANOS;
      for (int i = 0; i < members.size(); i++) {
        if (i != deadIndex) {
          sendHeartbeat(members.get(i));
        }
      }
    }
  }

  /** Runs the timers of an instance and exchanges gossip with all peers to which it has links. */
  private void sendHeartbeat(Membership from) throws JsonProcessingException {
    from.onTick(now);
    for (Endpoint endpoint : from.linkTargets()) {
      int index = indexByEndpoint.get(endpoint);
      if (index == deadIndex) {
        from.onLinkFailed(endpoint, now);
        continue;
      }
      Membership to = members.get(index);
      from.onLinkUp(to.self(), now);
      to.onGossip(recordMessage(from.gossipFor(to.self().home()), false), now);
      from.onGossip(recordMessage(to.gossipFor(from.self().home()), true), now);
    }
  }

  /**
   * Counts the heartbeat that carries some records, with its size on the link.
   *
   * @param records records of the message
   * @param reply whether it responds to a heartbeat
   * @return the records
   * @throws JsonProcessingException if the message cannot be encoded
   */
  private List<MemberRecord> recordMessage(List<MemberRecord> records, boolean reply)
      throws JsonProcessingException {
    LinkMessage message = new LinkMessage.Heartbeat(1_000_000, 100, reply, records);
    messages++;
    bytes +=
        FRAME_HEADER_BYTES
            + Mappers.messagePack().writerFor(LinkMessage.class).writeValueAsBytes(message).length;
    return records;
  }
}

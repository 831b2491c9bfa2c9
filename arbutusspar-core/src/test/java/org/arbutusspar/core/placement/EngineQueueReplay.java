package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * Replays requests of three kinds against a chooser: 36 places at four engines, which the usual
 * load fills to two thirds. Clients whose requests are rejected return when instructed, or at once.
 */
final class EngineQueueReplay {

  static final Kind REVIEW = new Kind("review", 0, 5, 6_600, 5_400, 380, 1_900, 1_000, 12_000);
  static final Kind SUMMARY = new Kind("summary", 1, 8, 630, 200, 290, 1_500, 2_000, 12_000);
  static final Kind CHECK = new Kind("check", 2, 15, 1_800, 570, 22, 150, 4_000, 6_000);
  static final List<Kind> KINDS = List.of(REVIEW, SUMMARY, CHECK);

  private static final long FIRST_TOKEN_MILLIS = 50;
  private static final double READ_TOKENS_PER_MILLI = 100;
  private static final int ENGINES = 4;
  private static final int SLOTS = 10;
  private static final long STEP_MILLIS = 5;
  private static final long LENGTH_MILLIS = 20_000;
  private static final long BURST_FROM_MILLIS = 4_000;
  private static final long BURST_TO_MILLIS = 10_000;
  private static final double MAX_RETRY_AFTER_SHARE = 0.31;

  private final EngineChooser chooser;
  private final Random random = new Random(7);
  private final boolean returnAtOnce;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Tally> tallies = new HashMap<>();
  private final List<long[]> forecasts = new ArrayList<>();
  private int lastId;

  /** A kind of request; times in milliseconds, tokens of mean size. */
  record Kind(
      String name,
      int rank,
      double perSecond,
      long ownTokens,
      long sharedTokens,
      long outputTokens,
      long stayMillis,
      long targetMillis,
      long deadlineMillis) {}

  /** Requests of a group by what came of them. */
  static final class Tally {
    int asked;
    int inTime;
    int late;
    private int rejections;
    private double heldMillis;

    private void count(boolean wasInTime) {
      if (wasInTime) {
        inTime++;
      } else {
        late++;
      }
    }

    private void onRejected(long waitedMillis) {
      rejections++;
      heldMillis += waitedMillis;
    }

    double served() {
      return (double) (inTime + late) / asked;
    }

    /** Returns the mean time for which requests were held that were rejected then. */
    double meanHeldMillis() {
      return rejections == 0 ? 0 : heldMillis / rejections;
    }

    double inTimeShare() {
      return (double) inTime / asked;
    }
  }

  private record Client(Kind kind, double size, int workspace, long sentAt, int attempt) {}

  private enum Step {
    ASK,
    FIRST_TOKEN,
    END
  }

  private record Event(long at, Step step, Client client, String id) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Long.compare(at, other.at);
    }
  }

  private EngineQueueReplay(EngineChooser chooser, boolean returnAtOnce) {
    this.chooser = chooser;
    this.returnAtOnce = returnAtOnce;
    List<UpstreamReplica> replicas = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Endpoint endpoint = new Endpoint("10.0.0." + i, 80);
      replicas.add(
          new UpstreamReplica("r" + i, "s", endpoint, DataCentre.of("a"), SLOTS, false, 0));
    }
    chooser.replicas(replicas);
  }

  /**
   * Replays 20 seconds with a burst of some kinds in them.
   *
   * @param factors rate during the burst as a multiple of the usual one, by kind
   * @return the replay, with its tallies
   */
  static EngineQueueReplay run(
      EngineChooser chooser, Map<Kind, Double> factors, boolean returnAtOnce) {
    EngineQueueReplay replay = new EngineQueueReplay(chooser, returnAtOnce);
    KINDS.forEach(kind -> replay.addArrivals(kind, factors.getOrDefault(kind, 1.0)));
    replay.play();
    return replay;
  }

  private void addArrivals(Kind kind, double factor) {
    double at = 0;
    while (at < LENGTH_MILLIS) {
      boolean burst = at >= BURST_FROM_MILLIS && at < BURST_TO_MILLIS;
      double perSecond = kind.perSecond() * (burst ? factor : 1);
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      double size = Math.min(4, Math.exp(random.nextGaussian() - 0.5));
      // Workspace 0 sends two thirds of all requests.
      int workspace = random.nextInt(3) < 2 ? 0 : 1 + random.nextInt(4);
      Client client = new Client(kind, size, workspace, (long) at, 1);
      events.add(new Event((long) at, Step.ASK, client, ""));
    }
  }

  private void play() {
    Map<String, Client> waiting = new HashMap<>();
    for (long now = 0; now < 2 * LENGTH_MILLIS; now += STEP_MILLIS) {
      while (!events.isEmpty() && events.peek().at() <= now) {
        Event event = events.poll();
        switch (event.step()) {
          case ASK -> ask(event.client(), now, waiting);
          case FIRST_TOKEN -> chooser.onResponseStarted(event.id(), Nanos.ofMillis(now));
          default -> chooser.onEnded(event.id(), true, Nanos.ofMillis(now));
        }
      }
      for (String id : List.copyOf(waiting.keySet())) {
        if (now % 200 == 0) {
          chooser.ask(request(id, waiting.get(id)), Nanos.ofMillis(now));
        }
      }
      for (EngineChooser.Settled settled : chooser.settle(Nanos.ofMillis(now))) {
        Client client = waiting.remove(settled.request().id());
        if (settled.decision().replica().isPresent()) {
          forecasts.add(new long[] {settled.forecastMillis(), settled.waitedMillis()});
        }
        decided(settled.request().id(), client, settled.decision(), settled.waitedMillis(), now);
      }
    }
  }

  private void ask(Client client, long now, Map<String, Client> waiting) {
    String id = "q" + ++lastId;
    if (client.attempt() == 1) {
      groups(client).forEach(tally -> tally.asked++);
    }
    EngineDecision decision = chooser.ask(request(id, client), Nanos.ofMillis(now));
    if (decision.state() == EngineDecision.State.WAITING) {
      waiting.put(id, client);
    } else {
      decided(id, client, decision, 0, now);
    }
  }

  private EnginePlacer.EngineRequest request(String id, Client client) {
    Kind kind = client.kind();
    EngineDemand demand =
        new EngineDemand(
            kind.name(),
            "w" + client.workspace(),
            kind.rank(),
            (long) (kind.outputTokens() * client.size()),
            Nanos.ofMillis(client.sentAt() + kind.targetMillis()),
            Nanos.ofMillis(client.sentAt() + kind.deadlineMillis()),
            client.attempt() > 1,
            false);
    return new EnginePlacer.EngineRequest(
        id,
        "e-1",
        List.of(),
        kind.rank() * 100 + (long) (client.size() * 10),
        kind.sharedTokens(),
        (long) (kind.ownTokens() * client.size()),
        Optional.empty(),
        0,
        List.of(),
        true,
        Optional.of(demand));
  }

  private void decided(
      String id, Client client, EngineDecision decision, long waitedMillis, long now) {
    Kind kind = client.kind();
    if (decision.replica().isPresent()) {
      double tokens = kind.ownTokens() * client.size() + kind.sharedTokens();
      long firstTokenAt = now + FIRST_TOKEN_MILLIS + (long) (tokens / READ_TOKENS_PER_MILLI);
      events.add(new Event(firstTokenAt, Step.FIRST_TOKEN, client, id));
      long stay = (long) (kind.stayMillis() * client.size());
      events.add(new Event(firstTokenAt + stay, Step.END, client, id));
      boolean inTime = now - client.sentAt() <= kind.targetMillis();
      groups(client).forEach(tally -> tally.count(inTime));
      return;
    }
    groups(client).forEach(tally -> tally.onRejected(waitedMillis));
    double leftMillis = client.sentAt() + kind.deadlineMillis() - now;
    double afterMillis = leftMillis * MAX_RETRY_AFTER_SHARE * (0.5 + 0.5 * random.nextDouble());
    if (decision.millis() > 0 && decision.millis() < leftMillis * MAX_RETRY_AFTER_SHARE) {
      afterMillis = decision.millis();
    }
    if (client.attempt() < (returnAtOnce ? 5 : 2)) {
      Client again =
          new Client(
              kind, client.size(), client.workspace(), client.sentAt(), client.attempt() + 1);
      events.add(new Event(now + (returnAtOnce ? 20 : (long) afterMillis), Step.ASK, again, ""));
    }
  }

  private List<Tally> groups(Client client) {
    String kind = client.kind().name();
    String band = client.size() > 2.2 ? "/largest" : client.size() > 1.1 ? "/large" : "/usual";
    return List.of(tally("all"), tally(kind), tally(kind + band), tally("w" + client.workspace()));
  }

  Tally tally(String group) {
    return tallies.computeIfAbsent(group, name -> new Tally());
  }

  /** Returns the requests in time, each weighted by half for each rank below the most urgent. */
  double worthInTime() {
    return KINDS.stream()
        .mapToDouble(kind -> tally(kind.name()).inTime * Math.pow(0.5, kind.rank()))
        .sum();
  }

  /** Returns the forecast and the true wait of each request that was placed after a wait. */
  List<long[]> forecasts() {
    return forecasts;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    tallies.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            e ->
                text.append(
                    String.format(
                        "%s %d in time %.2f served %.2f%n",
                        e.getKey(),
                        e.getValue().asked,
                        e.getValue().inTimeShare(),
                        e.getValue().served())));
    return text.toString();
  }
}

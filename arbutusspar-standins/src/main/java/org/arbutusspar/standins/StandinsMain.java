package org.arbutusspar.standins;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.io.platform.Listing;

/**
 * Runs the stand-ins of one deployment for one role until the process is killed: either the
 * platform, or all upstream replicas of one data centre.
 */
@Command(name = "standins", description = "Runs stand-ins of one deployment")
public final class StandinsMain {

  @Option(name = "--deployment", description = "cojulun or trentvale")
  @Required
  private String deployment;

  @Option(name = "--role", description = "platform, or the name of a data centre")
  @Required
  private String role;

  @Option(name = "--instant", description = "Replicas respond without delay")
  private boolean instant;

  /** Creates the command; used by the command line parser. */
  public StandinsMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   * @throws InterruptedException if the wait is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    SingleCommand.singleCommand(StandinsMain.class).parse(args).run();
  }

  @SuppressWarnings("try")
  private void run() throws InterruptedException {
    Topology topology = Topology.of(deployment);
    try (AutoCloseable standin =
        role.equals("platform") ? platform(topology) : upstream(topology)) {
      System.out.println("event=ready role=" + role + " deployment=" + deployment);
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IllegalStateException("closing the stand-in failed", e);
    }
  }

  private static AutoCloseable platform(Topology topology) {
    Listing listing = new Listing(topology.entryInstances(), topology.replicas());
    return PlatformStandin.start(topology.platform(), listing);
  }

  private AutoCloseable upstream(Topology topology) {
    DataCentre dataCentre = DataCentre.of(role);
    List<ListedReplica> replicas =
        topology.replicas().stream().filter(r -> r.dataCentre().equals(dataCentre)).toList();
    Map<String, ReplicaKind> kinds = new HashMap<>();
    topology.pools().forEach(p -> kinds.put(p.service(), p.kind()));
    return UpstreamStandin.start(
        new UpstreamStandin.Options(
            replicas, kinds, (from, to) -> oneWayMillis(topology, from, to), instant));
  }

  /**
   * Returns the one-way network delay between two hosts.
   *
   * @param topology the deployment
   * @param from IP address of one host
   * @param to IP address of the other host
   * @return the delay, in milliseconds; 0 within a data centre
   */
  private static double oneWayMillis(Topology topology, String from, String to) {
    boolean sameDataCentre = topology.dataCentreOf(from) == topology.dataCentreOf(to);
    return sameDataCentre ? 0 : topology.oneWayMillis();
  }
}

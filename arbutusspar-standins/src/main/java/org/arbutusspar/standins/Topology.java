package org.arbutusspar.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.io.platform.Listing;

/**
 * Data centres, entry instances and services of a deployment, and the loopback addresses at which
 * their processes run on this machine. The second octet of an address identifies the data centre,
 * so that a stand-in can derive the network delay from the addresses of a connection.
 *
 * @param name name of the deployment
 * @param dataCentres data centres of the deployment
 * @param oneWayMillis one-way network delay between two data centres, in milliseconds
 * @param clientOneWayMillis one-way network delay between a client and the data centre that it
 *     uses, in milliseconds
 * @param instances number of entry instances
 * @param pools services and their replica counts
 */
public record Topology(
    String name,
    List<DataCentre> dataCentres,
    double oneWayMillis,
    double clientOneWayMillis,
    int instances,
    List<PoolSize> pools) {

  private static final int CALLER_PORT = 7100;
  private static final int LINK_PORT = 7200;
  private static final int REPLICA_PORT = 8000;
  private static final int PLATFORM_PORT = 7000;

  /**
   * Second octet of the addresses in the first data centre of cojulun; each further data centre has
   * the next number, and the platform has the number before.
   */
  private static final int BASE_OCTET_COJULUN = 11;

  /** The same for trentvale. */
  private static final int BASE_OCTET_TRENT_VALE = 21;

  /** Creates a topology with copies of the lists. */
  public Topology {
    dataCentres = List.copyOf(dataCentres);
    pools = List.copyOf(pools);
  }

  /**
   * Replicas of one service.
   *
   * @param service name of the service
   * @param kind kind of the replicas
   * @param replicas number of replicas in all data centres
   */
  public record PoolSize(String service, ReplicaKind kind, int replicas) {}

  /**
   * Returns the topology of one of the two known deployments.
   *
   * @param name {@code cojulun} or {@code trentvale} in any case, not null
   * @return the topology
   * @throws IllegalArgumentException if no deployment has that name
   */
  public static Topology of(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "cojulun" -> cojulun();
      case "trentvale" -> trentVale();
      default ->
          throw new IllegalArgumentException(
              "deployment must be cojulun or trentvale, not '" + name + "'");
    };
  }

  private static Topology cojulun() {
    return new Topology(
        "cojulun",
        List.of(DataCentre.of("antigua"), DataCentre.of("xela"), DataCentre.of("chimal")),
        1.0,
        1.0,
        6,
        List.of(
            new PoolSize("encoder", ReplicaKind.ENCODE, 3),
            new PoolSize("catalogue", ReplicaKind.RETRIEVE, 3),
            new PoolSize("reranker", ReplicaKind.RERANK, 3),
            new PoolSize("costume-model", ReplicaKind.GENERATE, 6),
            new PoolSize("booking", ReplicaKind.PLAIN, 3),
            new PoolSize("repairs", ReplicaKind.PLAIN, 4),
            new PoolSize("delivery", ReplicaKind.PLAIN, 4),
            new PoolSize("deposits", ReplicaKind.PLAIN, 4)));
  }

  private static Topology trentVale() {
    return new Topology(
        "trentvale",
        List.of(DataCentre.of("mids-a"), DataCentre.of("mids-b"), DataCentre.of("mids-c")),
        1.5,
        3.0,
        8,
        List.of(
            new PoolSize("encoder", ReplicaKind.ENCODE, 3),
            new PoolSize("collection-log", ReplicaKind.RETRIEVE, 3),
            new PoolSize("reranker", ReplicaKind.RERANK, 3),
            new PoolSize("swap-model", ReplicaKind.GENERATE, 8),
            new PoolSize("payouts", ReplicaKind.PLAIN, 3),
            new PoolSize("portal", ReplicaKind.PLAIN, 4),
            new PoolSize("stock", ReplicaKind.PLAIN, 4),
            new PoolSize("reminders", ReplicaKind.PLAIN, 4)));
  }

  /** Returns the endpoint at which the stand-in of the platform listens. */
  public Endpoint platform() {
    return new Endpoint("127." + (baseOctet() - 1) + ".0.1", PLATFORM_PORT);
  }

  private int baseOctet() {
    return name.equals("cojulun") ? BASE_OCTET_COJULUN : BASE_OCTET_TRENT_VALE;
  }

  /**
   * Returns the data centre of an IP address.
   *
   * @param host dotted IPv4 address, not null
   * @return index of the data centre in {@link #dataCentres()}, or -1 if the address belongs to
   *     none of them
   */
  public int dataCentreOf(String host) {
    String[] parts = host.split("\\.");
    int index = parts.length == 4 ? Integer.parseInt(parts[1]) - baseOctet() : -1;
    return index >= 0 && index < dataCentres.size() ? index : -1;
  }

  /** Returns the entry instances, spread evenly over the data centres. */
  public List<Listing.ListedInstance> entryInstances() {
    List<Listing.ListedInstance> list = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      int dataCentre = i % dataCentres.size();
      String host = host(dataCentre, 0, 1 + i / dataCentres.size());
      list.add(
          new Listing.ListedInstance(
              InstanceId.of("entry-" + (i + 1)),
              new Endpoint(host, CALLER_PORT),
              new Endpoint(host, LINK_PORT),
              dataCentres.get(dataCentre)));
    }
    return list;
  }

  /** Returns the replicas of all services, each service spread evenly over the data centres. */
  public List<ListedReplica> replicas() {
    List<ListedReplica> list = new ArrayList<>();
    for (int p = 0; p < pools.size(); p++) {
      PoolSize pool = pools.get(p);
      for (int i = 0; i < pool.replicas(); i++) {
        int dataCentre = i % dataCentres.size();
        String host = host(dataCentre, 1 + p, 1 + i);
        list.add(
            new ListedReplica(
                ReplicaId.of(pool.service() + "-" + (i + 1)),
                ObjectName.of(pool.service()),
                new Endpoint(host, REPLICA_PORT),
                dataCentres.get(dataCentre),
                false));
      }
    }
    return list;
  }

  private String host(int dataCentre, int thirdOctet, int fourthOctet) {
    return "127." + (baseOctet() + dataCentre) + "." + thirdOctet + "." + fourthOctet;
  }
}

package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.config.ConfigObject;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.config.VersionedObject;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;

/** Generates the configuration and the replica list of deployments of any size. */
public final class LargeDeployment {

  private static final int DATA_CENTRES = 9;
  private static final int MODELS = 25;
  private static final int HOSTS_PER_OCTET = 250;

  private LargeDeployment() {}

  /**
   * Returns a configuration. All pipelines share the encoder, the retriever and the reranker; the
   * model engines are assigned to the pipelines in turn.
   *
   * @param pipelines number of pipelines
   * @param workspaces number of workspaces
   * @return the configuration at revision 1
   */
  public static ConfigState config(int pipelines, int workspaces) {
    List<ConfigObject> objects = new ArrayList<>();
    objects.add(service("enc", StageKind.ENCODE));
    objects.add(service("ret", StageKind.RETRIEVE));
    objects.add(service("rank", StageKind.RERANK));
    for (int i = 0; i < MODELS; i++) {
      objects.add(service("gen" + i, StageKind.GENERATE));
    }
    for (int i = 0; i < pipelines; i++) {
      objects.add(pipeline(i));
    }
    for (int i = 0; i < workspaces; i++) {
      String hash = String.format("%064x", i);
      objects.add(new Workspace(ObjectName.of("w" + i), hash, 1 + i % 4));
    }
    return new ConfigState(
        1, objects.stream().map(o -> new VersionedObject(1, o)).toList(), List.of());
  }

  private static Service service(String name, StageKind kind) {
    long catalogueSize = kind == StageKind.RETRIEVE ? 20_000 : 0;
    CostPrior cost = new CostPrior(10, 0.001, 1);
    return new Service(ObjectName.of(name), kind, "m", "", 32, cost, false, true, catalogueSize);
  }

  private static Pipeline pipeline(int i) {
    return new Pipeline(
        ObjectName.of("p" + i),
        6_000,
        List.of(
            new Stage(StageKind.ENCODE, ObjectName.of("enc"), 0),
            new Stage(StageKind.RETRIEVE, ObjectName.of("ret"), 20),
            new Stage(StageKind.RERANK, ObjectName.of("rank"), 5),
            new Stage(StageKind.GENERATE, ObjectName.of("gen" + i % MODELS), 0)));
  }

  /**
   * Returns replicas that are assigned in turn to the services of {@link #config} and to the data
   * centres.
   *
   * @param count number of replicas of all services together
   * @return the replicas
   */
  public static List<ListedReplica> replicas(int count) {
    List<String> services = new ArrayList<>(List.of("enc", "ret", "rank"));
    for (int i = 0; i < MODELS; i++) {
      services.add("gen" + i);
    }
    List<ListedReplica> replicas = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String service = services.get(i % services.size());
      String host = "10." + i / HOSTS_PER_OCTET + "." + i % HOSTS_PER_OCTET + ".1";
      replicas.add(
          new ListedReplica(
              ReplicaId.of(service + "-" + i),
              ObjectName.of(service),
              new Endpoint(host, 8_000),
              DataCentre.of("dc" + i % DATA_CENTRES),
              false));
    }
    return replicas;
  }
}

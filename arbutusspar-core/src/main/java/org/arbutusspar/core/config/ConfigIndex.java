package org.arbutusspar.core.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.WorkspaceId;

/** Index of the objects of one configuration for look-ups in constant time. Immutable. */
public final class ConfigIndex {

  private final ConfigState state;
  private final Map<ObjectName, Pipeline> pipelines = new HashMap<>();
  private final Map<ObjectName, Service> services = new HashMap<>();
  private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();
  private final Map<String, Workspace> byKeyHash = new HashMap<>();

  private ConfigIndex(ConfigState state) {
    this.state = state;
    state.all(Pipeline.class).forEach(p -> pipelines.put(p.name(), p));
    state.all(Service.class).forEach(s -> services.put(s.name(), s));
    for (Workspace workspace : state.all(Workspace.class)) {
      workspaces.put(workspace.id(), workspace);
      byKeyHash.put(workspace.keySha256(), workspace);
    }
  }

  /**
   * Creates the index of a configuration.
   *
   * @param state the configuration, not null
   * @return the index
   */
  public static ConfigIndex of(ConfigState state) {
    return new ConfigIndex(Objects.requireNonNull(state, "state"));
  }

  /** Returns the indexed configuration. */
  public ConfigState state() {
    return state;
  }

  /** Returns the services by name, as an immutable copy. */
  public Map<ObjectName, Service> services() {
    return Map.copyOf(services);
  }

  /**
   * Returns the pipeline with a name.
   *
   * @param name its name, not null
   * @return the pipeline, or empty if there is none
   */
  public Optional<Pipeline> pipeline(ObjectName name) {
    return Optional.ofNullable(pipelines.get(name));
  }

  /**
   * Returns the service with a name.
   *
   * @param name its name, not null
   * @return the service, or empty if there is none
   */
  public Optional<Service> service(ObjectName name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the workspace with an identifier.
   *
   * @param id identifier of the workspace, not null
   * @return the workspace, or empty if there is none
   */
  public Optional<Workspace> workspace(WorkspaceId id) {
    return Optional.ofNullable(workspaces.get(id));
  }

  /**
   * Returns the workspace to which an API key belongs.
   *
   * @param keySha256 SHA-256 hash of the key in lower-case hexadecimal, not null
   * @return the workspace, or empty if the key is unknown
   */
  public Optional<Workspace> workspaceByKeyHash(String keySha256) {
    return Optional.ofNullable(byKeyHash.get(keySha256));
  }
}

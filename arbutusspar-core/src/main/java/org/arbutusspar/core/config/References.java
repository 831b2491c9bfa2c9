package org.arbutusspar.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.arbutusspar.core.id.ObjectName;

/** Check of the references from the stages of pipelines to services. */
public final class References {

  private References() {}

  /**
   * Returns a message about the first stage whose service is missing or of another kind than the
   * stage.
   *
   * @param objects all objects of a configuration, not null
   * @return the message, or an empty text if all references are valid
   */
  public static String firstDangling(Collection<VersionedObject> objects) {
    Map<ObjectName, Service> services = new HashMap<>();
    for (VersionedObject each : objects) {
      if (each.object() instanceof Service service) {
        services.put(service.name(), service);
      }
    }
    for (VersionedObject each : objects) {
      if (each.object() instanceof Pipeline pipeline) {
        String message = firstDangling(pipeline, services);
        if (!message.isEmpty()) {
          return message;
        }
      }
    }
    return "";
  }

  private static String firstDangling(Pipeline pipeline, Map<ObjectName, Service> services) {
    for (Stage stage : pipeline.stages()) {
      Service service = services.get(stage.service());
      if (service == null) {
        return pipeline.key() + " refers to missing service " + stage.service();
      }
      if (service.kind() != stage.kind()) {
        return pipeline.key() + " uses service " + service.name() + " for another kind of stage";
      }
    }
    return "";
  }
}

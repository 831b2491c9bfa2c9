package org.arbutusspar.ctl;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.arbutusspar.io.codec.Mappers;

/**
 * Mix of requests that a load test sends, read from a JSON file.
 *
 * @param workspaces workspaces that send the requests
 * @param targets pipelines and services that the requests go to
 */
record Workload(List<Caller> workspaces, List<Target> targets) {

  /** Checks the components and copies the lists. */
  Workload {
    workspaces = List.copyOf(workspaces);
    targets = List.copyOf(targets);
    if (workspaces.isEmpty() || targets.isEmpty()) {
      throw new IllegalArgumentException("a workload needs workspaces and targets");
    }
  }

  /**
   * A workspace that sends requests.
   *
   * @param name name of the workspace
   * @param key its secret key
   * @param weight its share of the requests, relative to the other weights
   */
  record Caller(String name, String key, double weight) {

    /** Checks the components. */
    Caller {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * A pipeline or a plain service, and the kind of requests that are sent to it.
   *
   * @param kind {@code pipeline} or {@code service}
   * @param name name of the pipeline or service
   * @param weight its share of the requests, relative to the other weights
   * @param repeatable whether a service may run a request more than once; ignored for pipelines
   * @param deadlineMs time from sending a request until its answer is due, in milliseconds
   * @param minChars shortest question, in characters
   * @param maxChars longest question, in characters
   * @param minTokens shortest answer, in tokens
   * @param maxTokens longest answer, in tokens
   */
  record Target(
      String kind,
      String name,
      double weight,
      boolean repeatable,
      long deadlineMs,
      int minChars,
      int maxChars,
      int minTokens,
      int maxTokens) {

    /** Checks the components. */
    Target {
      Objects.requireNonNull(name, "name");
      if (!"pipeline".equals(kind) && !"service".equals(kind)) {
        throw new IllegalArgumentException("kind must be pipeline or service: " + kind);
      }
    }

    boolean isService() {
      return kind.equals("service");
    }
  }

  /**
   * Reads a workload from a JSON file.
   *
   * @param file the file
   * @return the workload
   * @throws CtlException with exit code {@code USAGE} if the file is unreadable or malformed
   */
  static Workload read(Path file) {
    try {
      return Mappers.json().readValue(file.toFile(), Workload.class);
    } catch (IOException e) {
      String first = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new CtlException(ExitCode.USAGE, "workload " + file + ": " + first);
    }
  }
}

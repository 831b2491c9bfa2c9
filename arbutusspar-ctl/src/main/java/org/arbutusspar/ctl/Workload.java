package org.arbutusspar.ctl;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.arbutusspar.io.codec.Mappers;

/**
 * Mix of requests that a load consists of.
 *
 * @param workspaces who sends them
 * @param targets what they are sent to
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

  /** A workspace, its key and how much of the load it sends. */
  record Caller(String name, String key, double weight) {

    /** Checks the components. */
    Caller {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * A pipeline or a plain service, and the requests that it gets.
   *
   * @param kind {@code pipeline} or {@code service}
   * @param name its name
   * @param weight how much of the load goes to it
   * @param repeatable whether a call of a service may be repeated
   * @param deadlineMs deadline of a request
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

  /** Reads a workload; fails with a usage error if it is malformed. */
  static Workload read(Path file) {
    try {
      return Mappers.json().readValue(file.toFile(), Workload.class);
    } catch (IOException e) {
      String first = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new CtlException(ExitCode.USAGE, "workload " + file + ": " + first);
    }
  }
}

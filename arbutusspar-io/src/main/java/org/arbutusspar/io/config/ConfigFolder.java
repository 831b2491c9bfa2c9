package org.arbutusspar.io.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Reads a configuration folder. Its YAML files are merged in the order of their names; values of
 * later files override those of earlier ones.
 */
public final class ConfigFolder {

  /** Maximum number of files in a folder. */
  static final int MAX_FILES = 1_000;

  private ConfigFolder() {}

  /**
   * Reads and checks a folder.
   *
   * @param folder the folder, not null
   * @return the configuration objects and all problems found
   */
  public static FolderResult read(Path folder) {
    Objects.requireNonNull(folder, "folder");
    List<ConfigProblem> problems = new ArrayList<>();
    Optional<YamlValue.Mapping> merged = Optional.empty();
    for (Path file : listFiles(folder, problems)) {
      Optional<YamlValue.Mapping> next = YamlFileReader.read(file, problems);
      if (merged.isPresent() && next.isPresent()) {
        merged = Optional.of((YamlValue.Mapping) merged.get().mergedWith(next.get()));
      } else if (next.isPresent()) {
        merged = next;
      }
    }
    FolderChecker checker = FolderChecker.create(problems);
    merged.ifPresent(checker::check);
    problems.sort(
        Comparator.comparing(ConfigProblem::file)
            .thenComparingInt(ConfigProblem::line)
            .thenComparing(ConfigProblem::field));
    return new FolderResult(checker.objects(), problems);
  }

  private static List<Path> listFiles(Path folder, List<ConfigProblem> problems) {
    List<Path> files = new ArrayList<>();
    try (Stream<Path> entries = Files.list(folder)) {
      entries
          .filter(p -> !p.getFileName().toString().startsWith("."))
          .sorted(Comparator.comparing(p -> p.getFileName().toString()))
          .limit(MAX_FILES + 1L)
          .forEach(p -> addFile(p, files, problems));
    } catch (IOException e) {
      problems.add(new ConfigProblem("", 0, "", "folder cannot be read: " + e.getMessage()));
      return List.of();
    }
    if (files.size() > MAX_FILES) {
      problems.add(new ConfigProblem("", 0, "", "folder has more than " + MAX_FILES + " files"));
    }
    if (files.isEmpty() && problems.isEmpty()) {
      problems.add(new ConfigProblem("", 0, "", "folder holds no .yaml or .yml file"));
    }
    return files;
  }

  private static void addFile(Path path, List<Path> files, List<ConfigProblem> problems) {
    String name = path.getFileName().toString();
    boolean yaml = name.endsWith(".yaml") || name.endsWith(".yml");
    if (yaml && Files.isRegularFile(path)) {
      files.add(path);
    } else {
      problems.add(new ConfigProblem(name, 0, "", "is not a .yaml or .yml file"));
    }
  }
}

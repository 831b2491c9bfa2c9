package org.arbutusspar.io.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** Reads one YAML file into values that keep their position in the file. */
final class YamlFileReader {

  /** Maximum size of a file, in bytes. */
  static final int MAX_FILE_BYTES = 1 << 20;

  /** Maximum nesting depth of mappings and lists. */
  private static final int MAX_DEPTH = 20;

  private final Path path;
  private final String file;
  private final List<ConfigProblem> problems;

  private YamlFileReader(Path path, List<ConfigProblem> problems) {
    this.path = path;
    this.file = String.valueOf(path.getFileName());
    this.problems = problems;
  }

  /**
   * Reads a file.
   *
   * @param path the file, not null
   * @param problems list to which problems are added, not null
   * @return the top-level mapping of the file, or empty if the file could not be read
   */
  static Optional<YamlValue.Mapping> read(Path path, List<ConfigProblem> problems) {
    return new YamlFileReader(path, problems).read();
  }

  private Optional<YamlValue.Mapping> read() {
    Optional<String> text = readText();
    if (text.isEmpty()) {
      return Optional.empty();
    }
    try {
      Node root = new Yaml(options()).compose(new StringReader(text.get()));
      if (root == null) {
        report(0, "file is empty");
        return Optional.empty();
      }
      if (convert(root, "") instanceof YamlValue.Mapping mapping) {
        return Optional.of(mapping);
      }
      report(line(root), "file must hold a mapping");
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
      report(line, "malformed YAML: " + e.getProblem());
    } catch (YAMLException e) {
      report(0, "malformed YAML: " + firstLine(e.getMessage()));
    }
    return Optional.empty();
  }

  private Optional<String> readText() {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        report(0, "file is larger than " + MAX_FILE_BYTES + " bytes");
        return Optional.empty();
      }
      byte[] bytes = Files.readAllBytes(path);
      return Optional.of(
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
    } catch (CharacterCodingException e) {
      report(0, "file is not UTF-8");
    } catch (IOException e) {
      report(0, "file cannot be read: " + e.getMessage());
    }
    return Optional.empty();
  }

  private static LoaderOptions options() {
    LoaderOptions options = new LoaderOptions();
    options.setMaxAliasesForCollections(0);
    options.setNestingDepthLimit(MAX_DEPTH);
    options.setCodePointLimit(MAX_FILE_BYTES);
    return options;
  }

  private YamlValue convert(Node node, String path) {
    YamlValue.Position position = new YamlValue.Position(file, line(node));
    if (node instanceof MappingNode mapping) {
      return new YamlValue.Mapping(position, convertEntries(mapping, path));
    }
    if (node instanceof SequenceNode sequence) {
      List<YamlValue> items = new ArrayList<>();
      for (Node item : sequence.getValue()) {
        items.add(convert(item, path + "[" + items.size() + "]"));
      }
      return new YamlValue.Sequence(position, List.copyOf(items));
    }
    ScalarNode scalar = (ScalarNode) node;
    boolean quoted = scalar.getScalarStyle() != DumperOptions.ScalarStyle.PLAIN;
    return new YamlValue.Scalar(position, scalar.getValue(), quoted);
  }

  private Map<String, YamlValue.Entry> convertEntries(MappingNode mapping, String path) {
    Map<String, YamlValue.Entry> entries = new LinkedHashMap<>();
    for (NodeTuple tuple : mapping.getValue()) {
      if (!(tuple.getKeyNode() instanceof ScalarNode keyNode)) {
        report(line(tuple.getKeyNode()), "a key must be a scalar");
        continue;
      }
      String key = keyNode.getValue();
      String child = path.isEmpty() ? key : path + "." + key;
      YamlValue value = convert(tuple.getValueNode(), child);
      YamlValue.Position position = new YamlValue.Position(file, line(keyNode));
      if (entries.put(key, new YamlValue.Entry(position, value)) != null) {
        problems.add(new ConfigProblem(file, line(keyNode), child, "key is given twice"));
      }
    }
    return entries;
  }

  private static int line(Node node) {
    return node.getStartMark().getLine() + 1;
  }

  private static String firstLine(String message) {
    return message == null ? "unknown error" : message.lines().findFirst().orElse("");
  }

  private void report(int line, String message) {
    problems.add(new ConfigProblem(file, line, "", message));
  }
}

package org.arbutusspar.io.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Workspace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the merging of configuration files, and that each problem is reported with its file, line
 * and field.
 */
class ConfigFolderTest {

  private static final String SERVICES =
      """
      services:
        enc: {kind: encode, model: m, concurrency: 4, cost: {baseMs: 1, perUnitMs: 0, pricePerSecond: 0}}
        ret:
          kind: retrieve
          model: m
          concurrency: 4
          catalogueSize: 10
          cost: {baseMs: 1, perUnitMs: 0, pricePerSecond: 0}
        gen: {kind: generate, model: m, concurrency: 4, cost: {baseMs: 1, perUnitMs: 0, pricePerSecond: 0}}
      """;

  private static final String PIPELINES =
      """
      pipelines:
        chat:
          deadlineMs: 6000
          stages:
            - {kind: encode, service: enc}
            - {kind: retrieve, service: ret, limit: 5}
            - {kind: generate, service: gen}
      """;

  @TempDir private Path folder;

  private void write(String file, String text) throws IOException {
    Files.writeString(folder.resolve(file), text);
  }

  private String problems() {
    return ConfigFolder.read(folder).problems().stream()
        .map(ConfigProblem::toString)
        .map(line -> line.replace(folder.toString(), "FOLDER"))
        .collect(Collectors.joining("\n"));
  }

  @Test
  void mergesFilesInNameOrder() throws IOException {
    write("10.yaml", SERVICES);
    write("20.yaml", PIPELINES);
    write("30.yml", "services:\n  enc:\n    concurrency: 9\n");
    FolderResult result = ConfigFolder.read(folder);
    assertTrue(result.isValid(), problems());
    assertEquals(4, result.objects().size());
    Service encoder =
        result.objects().stream()
            .filter(o -> o.key().toString().equals("service/enc"))
            .map(Service.class::cast)
            .findFirst()
            .orElseThrow();
    assertEquals(9, encoder.concurrency(), "value of the later file does not override");
    assertEquals("m", encoder.model(), "value that the later file omits is lost");
  }

  @Test
  void reportsFileLineAndFieldOfEveryProblem() throws IOException {
    write("10.yaml", SERVICES);
    write(
        "20.yaml",
        """
        objective: {attainment: 2, cost: x}
        workspaces:
          A: {keySha256: abc}
          one: {keySha256: short, share: 0, colour: red}
        services:
          gen: {kind: dream, concurrency: 0}
          bare: {kind: plain}
          list: [1, 2]
        pipelines:
          late: {deadlineMs: 5, stages: []}
          lost:
            deadlineMs: six
            stages:
              - {kind: encode, service: nowhere}
              - {kind: generate, service: enc}
              - text
          order:
            deadlineMs: 6000
            stages:
              - {kind: retrieve, service: ret}
              - {kind: encode, service: enc}
              - {kind: encode, service: enc, limit: 2000}
        extra: 1
        """);
    Approvals.verify(problems());
  }

  @Test
  void rejectsDuplicateKeysWithinOneFile() throws IOException {
    write("10.yaml", "workspaces:\n  a: {}\n  a: {}\n");
    assertTrue(problems().contains("10.yaml:3: workspaces.a: key is given twice"), problems());
  }

  @Test
  void rejectsFilesThatAreNotYamlNotUtf8OrTooLarge() throws IOException {
    write("bad.yaml", "a: [1, 2\nb: }");
    write("empty.yaml", "");
    write("list.yaml", "- 1\n");
    write("note.txt", "x");
    write("deep.yaml", "a: " + "[".repeat(100) + "]".repeat(100));
    write("bomb.yaml", "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\nd: [*c, *c]\n");
    Files.write(folder.resolve("latin.yaml"), "a: ñ".getBytes(StandardCharsets.ISO_8859_1));
    Files.write(folder.resolve("large.yaml"), new byte[YamlFileReader.MAX_FILE_BYTES + 1]);
    Approvals.verify(problems());
  }

  @Test
  void rejectsAnEmptyOrMissingFolder() {
    assertEquals("folder holds no .yaml or .yml file", problems());
    FolderResult missing = ConfigFolder.read(folder.resolve("none"));
    assertEquals(1, missing.problems().size());
  }

  @Test
  void rejectsTwoWorkspacesWithOneKey() throws IOException {
    String hash = "a".repeat(64);
    write(
        "10.yaml", "workspaces:\n  a: {keySha256: " + hash + "}\n  b: {keySha256: " + hash + "}\n");
    assertEquals("10.yaml:3: workspaces.b: has the same key as workspace a", problems());
    assertTrue(ConfigFolder.read(folder).objects().stream().anyMatch(o -> o instanceof Workspace));
  }
}

package org.arbutusspar.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Guards against sockets, files, threads, clocks and global random number generators in the main
 * classes of the core, whose behaviour must depend on its inputs only.
 */
class CoreHasNoIoTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.arbutusspar.core");

  @Test
  void usesNoSocketsFilesOrThreads() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..", "java.net..", "java.nio.file..", "java.nio.channels..", "javax.net..")
        .orShould()
        .dependOnClassesThat()
        .haveNameMatching(
            "java\\.lang\\.(Thread|ThreadGroup|ThreadLocal|Runtime|Process.*)"
                + "|java\\.util\\.concurrent\\.(Executor.*|.*Executor|Future|CompletableFuture"
                + "|locks\\..*|atomic\\..*|.*Queue)")
        .check(CORE);
  }

  @Test
  void usesNoClockAndNoGlobalRandomness() {
    noClasses()
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .haveNameMatching(
            "java\\.time\\..*|java\\.util\\.(Date|Timer|Random|UUID)|java\\.security\\.SecureRandom"
                + "|java\\.util\\.concurrent\\.ThreadLocalRandom")
        .orShould()
        .callMethod(Math.class, "random")
        .check(CORE);
  }
}

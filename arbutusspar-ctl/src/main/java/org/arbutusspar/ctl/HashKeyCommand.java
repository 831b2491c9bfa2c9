package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Command;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.arbutusspar.io.codec.Sha256;

/** Prints the SHA-256 hash, in hexadecimal digits, of a key that is read from standard input. */
@Command(
    name = "hash-key",
    description = "Print the SHA-256 of the key on the first line of standard input")
public final class HashKeyCommand extends CtlCommand {

  /** Creates the command; used by the command line parser. */
  public HashKeyCommand() {}

  @Override
  ExitCode execute(Output out) {
    InputStreamReader reader = new InputStreamReader(System.in, StandardCharsets.UTF_8);
    try (BufferedReader in = new BufferedReader(reader)) {
      String key = in.readLine();
      if (key == null || key.isBlank()) {
        throw new CtlException(ExitCode.USAGE, "standard input holds no key");
      }
      out.line(Sha256.hex(key));
      return ExitCode.OK;
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "standard input cannot be read");
    }
  }
}

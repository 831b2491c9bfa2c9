package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... args) {
    double seconds = (System.nanoTime() - start) / 1e9;
    String text =
        String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, format, args);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

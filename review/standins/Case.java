package review;

import java.nio.file.Path;

/** Runs the script of a case and turns its result into the exit code. */
final class Case {

  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;
  private static final long MAX_MILLIS = 110_000;

  private Case() {}

  /** The script of a case. */
  interface Script {

    /** Returns whether the rule held. */
    boolean run(Store store, Fleet fleet, Record record, boolean trouble) throws Exception;
  }

  static void main(String[] args, Script script) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Path scratch = Path.of(args[2]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = NOT_RUN;
    try (Record record = new Record(folder.resolve("record.txt"));
        Store store = new Store("127.0.0.1");
        Fleet fleet = new Fleet(root, scratch, store, record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::kill));
      Threads.start("watchdog", () -> expire(record));
      record.line("trouble: %s", trouble ? "yes" : "no");
      boolean held = script.run(store, fleet, record, trouble);
      record.line(held ? "the rule held" : "the rule was broken");
      code = held ? 0 : BROKEN;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static void expire(Record record) throws InterruptedException {
    Thread.sleep(MAX_MILLIS);
    record.line("the case did not end in time");
    System.exit(NOT_RUN);
  }
}

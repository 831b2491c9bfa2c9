package review;

/** Writes strings as JSON. */
final class Json {

  private Json() {}

  static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }
}

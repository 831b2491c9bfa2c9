package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP message, and the functions that read heads and bodies from a stream. */
final class Message {

  final String startLine;
  final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

  private Message(String startLine) {
    this.startLine = startLine;
  }

  /** Reads a head. Returns null if the stream ends before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Message message = new Message(first);
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("connection ended in a head");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        if (line.size() > 0) {
          throw new EOFException("connection ended in a line");
        }
        return null;
      }
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
  }

  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String target() {
    return startLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  boolean chunked() {
    return field("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked");
  }

  /** Reads a body with a length or in chunks; without either it is empty. */
  byte[] readBody(InputStream in) throws IOException {
    if (chunked()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (byte[] part = readChunk(in); part.length > 0; part = readChunk(in)) {
        body.write(part);
      }
      return body.toByteArray();
    }
    int length = field("Content-Length").isEmpty() ? 0 : Integer.parseInt(field("Content-Length"));
    return readExactly(in, length);
  }

  /** Reads one chunk; the last one is empty. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("connection ended between chunks");
    }
    byte[] part = readExactly(in, Integer.parseInt(size.split(";")[0].trim(), 16));
    readLine(in);
    return part;
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection ended in a body");
    }
    return bytes;
  }
}

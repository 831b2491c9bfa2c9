package org.arbutusspar.io.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.LogRecord;

/**
 * Encodes and decodes the records of the configuration stream in the platform's log. A record is a
 * JSON object with the fields {@code stream}, {@code format}, {@code kind} and {@code body}.
 */
public final class LogRecordCodec {

  /** Format number of the records that this class writes, and the highest that it reads. */
  public static final int FORMAT = 1;

  private static final String STREAM = "config";
  private static final String KIND_CHANGE = "change";
  private static final String KIND_SNAPSHOT = "snapshot";

  private LogRecordCodec() {}

  /**
   * Encodes a change.
   *
   * @param change the change, not null
   * @return the record as JSON text
   */
  public static String encode(LogRecord.Change change) {
    return envelope(KIND_CHANGE, Mappers.json().valueToTree(change));
  }

  /**
   * Encodes a snapshot.
   *
   * @param snapshot the snapshot, not null
   * @return the record as JSON text
   */
  public static String encode(LogRecord.Snapshot snapshot) {
    return envelope(KIND_SNAPSHOT, Mappers.json().valueToTree(snapshot.state()));
  }

  private static String envelope(String kind, JsonNode body) {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("stream", STREAM).put("format", FORMAT).put("kind", kind).set("body", body);
    return node.toString();
  }

  /**
   * Decodes a record.
   *
   * <p>A record of another stream, or one marked as {@code optional}, is ignorable. A record with a
   * higher format number or of an unknown kind is unreadable. A malformed record of this format is
   * ignorable, because every reader of this format ignores it, so that all readers agree.
   *
   * @param text text of the record, not null
   * @return the decoded record, or a marker that it is ignorable or unreadable
   */
  public static LogRecord decode(String text) {
    JsonNode node;
    try {
      node = Mappers.json().readTree(text);
    } catch (JsonProcessingException e) {
      return new LogRecord.Ignorable();
    }
    if (node == null || !STREAM.equals(node.path("stream").asText())) {
      return new LogRecord.Ignorable();
    }
    if (node.path("optional").asBoolean(false)) {
      return new LogRecord.Ignorable();
    }
    int format = node.path("format").asInt(0);
    if (format > FORMAT) {
      return new LogRecord.Unreadable("format " + format + " is newer than " + FORMAT);
    }
    return decodeBody(node.path("kind").asText(), node.path("body"));
  }

  private static LogRecord decodeBody(String kind, JsonNode body) {
    try {
      return switch (kind) {
        case KIND_CHANGE -> Mappers.json().treeToValue(body, LogRecord.Change.class);
        case KIND_SNAPSHOT ->
            new LogRecord.Snapshot(Mappers.json().treeToValue(body, ConfigState.class));
        default -> new LogRecord.Unreadable("unknown kind '" + kind + "'");
      };
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return new LogRecord.Ignorable();
    }
  }
}

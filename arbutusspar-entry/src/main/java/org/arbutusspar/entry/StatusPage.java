package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.JsonNode;

/** Renders the status of an instance as a read-only HTML page for operators. */
final class StatusPage {

  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em;color:#222}table{border-collapse:collapse;"
          + "margin:0 0 1.5em}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}"
          + "th{background:#eee}.bad{background:#fdd}";

  private StatusPage() {}

  /**
   * Returns the page.
   *
   * @param status the status as returned by the operators' API, not null
   * @return the HTML document
   */
  static String render(JsonNode status) {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<meta http-equiv=\"refresh\" content=\"5\"><title>arbutusspar ")
        .append(escapeHtml(status.path("instance").asText()))
        .append("</title><style>")
        .append(STYLE)
        .append("</style></head><body>");
    appendHeading(page, status);
    appendMembers(page, status.path("members"));
    appendServices(page, status.path("services"));
    return page.append("</body></html>").toString();
  }

  private static void appendHeading(StringBuilder page, JsonNode status) {
    JsonNode load = status.path("load");
    page.append("<h1>").append(escapeHtml(status.path("instance").asText())).append("</h1><p>");
    page.append("Data centre ").append(escapeHtml(status.path("dataCentre").asText()));
    page.append(", configuration revision ").append(status.path("revision").asLong());
    page.append(". Requests in progress: ").append(load.path("active").asInt());
    page.append(", waiting: ").append(load.path("queued").asInt());
    page.append(load.path("draining").asBoolean() ? ". Shutting down." : ".").append("</p>");
    appendWarning(page, "Not ready: ", status.path("notReady").asText());
    appendWarning(page, "Configuration may be behind: ", status.path("obstacle").asText());
  }

  private static void appendWarning(StringBuilder page, String label, String text) {
    if (!text.isEmpty()) {
      page.append("<p class=\"bad\">").append(label).append(escapeHtml(text)).append("</p>");
    }
  }

  private static void appendMembers(StringBuilder page, JsonNode members) {
    page.append("<h2>Instances</h2><table><tr><th>Instance<th>Status<th>Data centre");
    page.append("<th>Address<th>Revision</tr>");
    for (JsonNode member : members) {
      appendRow(
          page,
          member.path("status").asText().equals("suspect"),
          member.path("instance").asText(),
          member.path("status").asText(),
          member.path("dataCentre").asText(),
          member.path("callers").asText(),
          member.path("revision").asText());
    }
    page.append("</table>");
  }

  private static void appendServices(StringBuilder page, JsonNode services) {
    page.append("<h2>Upstreams</h2><table><tr><th>Service<th>Replica<th>State");
    page.append("<th>Data centre<th>In flight<th>Limit<th>Slowness</tr>");
    for (JsonNode service : services) {
      for (JsonNode replica : service.path("replicas")) {
        appendRow(
            page,
            !replica.path("state").asText().equals("live"),
            service.path("service").asText(),
            replica.path("replica").asText(),
            replica.path("state").asText(),
            replica.path("dataCentre").asText(),
            replica.path("inFlight").asText(),
            replica.path("limit").asText(),
            replica.path("slowness").asText());
      }
    }
    page.append("</table>");
  }

  /** Appends a table row with the cell texts, which are escaped. */
  private static void appendRow(StringBuilder page, boolean highlighted, String... cells) {
    page.append(highlighted ? "<tr class=\"bad\">" : "<tr>");
    for (String cell : cells) {
      page.append("<td>").append(escapeHtml(cell));
    }
    page.append("</tr>");
  }

  private static String escapeHtml(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}

package org.arbutusspar.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;

/**
 * Amount of work of one simulated call, and its response. The response is derived from the request,
 * so that a client can check that it received the response to its own request.
 *
 * @param units number of units of the {@link ReplicaKind}, which determines the duration
 * @param responseBody JSON body of the response; for a model engine the text to stream
 */
record SimulatedWork(double units, String responseBody) {

  private static final int VECTOR_DIMENSIONS = 8;
  private static final int MAX_TOKENS = 4_000;
  private static final int MAX_DOCUMENTS = 1_000;

  /**
   * Returns the work of a call.
   *
   * @param kind kind of the replica that was called
   * @param exchange exchange with the request
   * @return the work
   * @throws IllegalArgumentException if the body of the request is not JSON
   */
  static SimulatedWork of(ReplicaKind kind, Exchange exchange) {
    JsonNode body;
    try {
      body = Mappers.json().readTree(exchange.body());
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body is not JSON", e);
    }
    return switch (kind) {
      case ENCODE -> encode(body.path("input").asText());
      case RETRIEVE -> retrieve(body);
      case RERANK -> rerank(body);
      case GENERATE -> generate(body);
      case PLAIN -> plain(exchange.body());
    };
  }

  private static SimulatedWork encode(String input) {
    ObjectNode response = Mappers.json().createObjectNode();
    ArrayNode vector = response.putArray("data").addObject().putArray("embedding");
    long hash = Rendezvous.hash(input);
    for (int i = 0; i < VECTOR_DIMENSIONS; i++) {
      vector.add(((hash >>> (8 * i)) & 0xff) / 256.0);
    }
    return new SimulatedWork(input.length(), response.toString());
  }

  private static SimulatedWork retrieve(JsonNode body) {
    int limit = Math.min(MAX_DOCUMENTS, body.path("limit").asInt(1));
    String seed = body.path("vector").toString();
    ObjectNode response = Mappers.json().createObjectNode();
    ArrayNode documents = response.putArray("documents");
    for (int i = 0; i < limit; i++) {
      String id = "d" + Long.toHexString(Rendezvous.hash(seed + i)).substring(0, 6);
      documents.addObject().put("id", id).put("text", "text of " + id).put("score", 1.0 / (1 + i));
    }
    return new SimulatedWork(limit, response.toString());
  }

  private static SimulatedWork rerank(JsonNode body) {
    int candidates = body.path("documents").size();
    int returned = Math.min(candidates, Math.max(1, body.path("top_n").asInt(candidates)));
    ObjectNode response = Mappers.json().createObjectNode();
    ArrayNode results = response.putArray("results");
    for (int i = 0; i < returned; i++) {
      int index = candidates - 1 - i;
      results.addObject().put("index", index).put("relevance_score", 1.0 / (1 + i));
    }
    return new SimulatedWork(candidates, response.toString());
  }

  private static SimulatedWork generate(JsonNode body) {
    JsonNode messages = body.path("messages");
    String question = messages.path(messages.size() - 1).path("content").asText();
    int tokens = Math.max(2, Math.min(MAX_TOKENS, body.path("max_tokens").asInt(1)));
    StringBuilder text = new StringBuilder("[").append(digest(question)).append("]");
    for (int i = 2; i < tokens; i++) {
      text.append(" w").append(i);
    }
    return new SimulatedWork(tokens, text.append(" [end]").toString());
  }

  private static SimulatedWork plain(String body) {
    ObjectNode response = Mappers.json().createObjectNode();
    response.put("accepted", true).put("digest", digest(body));
    return new SimulatedWork(1, response.toString());
  }

  /**
   * Returns the digest that the response carries, by which a client recognises the response to its
   * own request.
   *
   * @param question prompt of an engine call, or body of a plain call
   * @return hexadecimal digest
   */
  static String digest(String question) {
    return Long.toHexString(Rendezvous.hash(question));
  }
}

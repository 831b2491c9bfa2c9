package org.arbutusspar.io.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.request.Document;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.core.request.StageOutput;
import org.arbutusspar.core.request.StageOutputException;
import org.arbutusspar.io.codec.Mappers;

/** Encodes the request bodies of calls to upstreams, and decodes their response bodies. */
final class StageCodec {

  private StageCodec() {}

  /** Returns the HTTP path to call for a service. */
  static String path(Service service) {
    return switch (service.kind()) {
      case ENCODE -> "/v1/embeddings";
      case RETRIEVE -> "/v1/retrieve";
      case RERANK -> "/v1/rerank";
      case GENERATE -> "/v1/chat/completions";
      case PLAIN -> service.path();
    };
  }

  /**
   * Returns the body of a call.
   *
   * @param service the service to call
   * @param stage the stage of the pipeline, which limits the number of results
   * @param data data of the request
   * @return JSON; for a plain service the question, unchanged
   */
  static String encode(Service service, Stage stage, RequestData data) {
    if (service.kind() == StageKind.PLAIN) {
      return data.question();
    }
    ObjectNode body = Mappers.json().createObjectNode();
    body.put("model", service.model());
    switch (service.kind()) {
      case ENCODE -> body.put("input", data.question());
      case RETRIEVE -> {
        ArrayNode vector = body.putArray("vector");
        data.embedding().forEach(vector::add);
        body.put("limit", stage.limit());
      }
      case RERANK -> {
        body.put("query", data.question());
        ArrayNode documents = body.putArray("documents");
        data.documents().forEach(d -> documents.add(d.text()));
        body.put("top_n", stage.limit());
      }
      default -> addGenerationFields(body, data);
    }
    return body.toString();
  }

  private static void addGenerationFields(ObjectNode body, RequestData data) {
    body.put("stream", true);
    body.put("max_tokens", data.maxTokens());
    ArrayNode messages = body.putArray("messages");
    StringBuilder context = new StringBuilder();
    data.documents().forEach(d -> context.append(d.text()).append('\n'));
    if (!context.isEmpty()) {
      messages.addObject().put("role", "system").put("content", context.toString());
    }
    messages.addObject().put("role", "user").put("content", data.question());
  }

  /**
   * Decodes the response body of any service except one that generates, which responds with a
   * stream.
   *
   * @param service the service that was called
   * @param body the response body
   * @return the output of the stage
   * @throws StageOutputException if the body is malformed
   */
  static StageOutput decode(Service service, String body) throws StageOutputException {
    JsonNode node;
    try {
      node = Mappers.json().readTree(body);
    } catch (JsonProcessingException e) {
      throw new StageOutputException("response is not JSON");
    }
    if (node == null || node.isMissingNode()) {
      throw new StageOutputException("response is empty");
    }
    return switch (service.kind()) {
      case ENCODE -> decodeEmbedding(node);
      case RETRIEVE -> decodeDocuments(node);
      case RERANK -> decodeRanking(node);
      case PLAIN -> new StageOutput.Plain(body);
      case GENERATE ->
          throw new StageOutputException("response of a generate service must be a stream");
    };
  }

  private static StageOutput decodeEmbedding(JsonNode node) throws StageOutputException {
    List<Double> vector = new ArrayList<>();
    for (JsonNode each : requireArray(node.path("data").path(0), "embedding")) {
      if (!each.isNumber()) {
        throw new StageOutputException("embedding contains a value that is not a number");
      }
      vector.add(each.asDouble());
    }
    return new StageOutput.Encoded(vector);
  }

  private static StageOutput decodeDocuments(JsonNode node) throws StageOutputException {
    List<Document> documents = new ArrayList<>();
    for (JsonNode each : requireArray(node, "documents")) {
      if (!each.path("id").isTextual() || !each.path("text").isTextual()) {
        throw new StageOutputException("document has no id or no text");
      }
      documents.add(
          new Document(
              each.path("id").asText(),
              each.path("text").asText(),
              each.path("score").asDouble(0)));
    }
    return new StageOutput.Retrieved(documents);
  }

  private static StageOutput decodeRanking(JsonNode node) throws StageOutputException {
    List<Integer> order = new ArrayList<>();
    for (JsonNode each : requireArray(node, "results")) {
      if (!each.path("index").isInt()) {
        throw new StageOutputException("rerank result has no index");
      }
      order.add(each.path("index").asInt());
    }
    return new StageOutput.Ranked(order);
  }

  private static JsonNode requireArray(JsonNode node, String field) throws StageOutputException {
    JsonNode array = node.path(field);
    if (!array.isArray()) {
      throw new StageOutputException("response has no array " + field);
    }
    return array;
  }
}

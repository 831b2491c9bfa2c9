package org.arbutusspar.core.request;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.StageKind;

/**
 * What a request carries from stage to stage. Immutable.
 *
 * @param question the caller's question; for a plain service the JSON body of the call
 * @param maxTokens longest answer that the caller accepts, in tokens
 * @param embedding vector of the question; empty before the encode stage
 * @param documents documents found so far, best first
 * @param answer the answer; empty before the last stage
 */
public record RequestData(
    String question,
    int maxTokens,
    List<Double> embedding,
    List<Document> documents,
    String answer) {

  /** Checks the components and copies the lists. */
  public RequestData {
    Objects.requireNonNull(question, "question");
    Objects.requireNonNull(answer, "answer");
    embedding = List.copyOf(embedding);
    documents = List.copyOf(documents);
  }

  /**
   * Returns the data of a request that has run no stage.
   *
   * @param question the question or body, not null
   * @param maxTokens longest answer, in tokens
   * @return the data
   */
  public static RequestData of(String question, int maxTokens) {
    return new RequestData(question, maxTokens, List.of(), List.of(), "");
  }

  /** Returns the data with a vector of the question. */
  RequestData withEmbedding(List<Double> next) {
    return new RequestData(question, maxTokens, next, documents, answer);
  }

  /** Returns the data with other documents. */
  RequestData withDocuments(List<Document> next) {
    return new RequestData(question, maxTokens, embedding, next, answer);
  }

  /** Returns the data with an answer. */
  RequestData withAnswer(String next) {
    return new RequestData(question, maxTokens, embedding, documents, next);
  }

  /**
   * Returns the amount of the driver that a stage's cost grows with.
   *
   * @param service the service that runs the stage, not null
   * @return characters, documents, candidates or tokens, as the kind has it
   */
  public double units(Service service) {
    return switch (service.kind()) {
      case ENCODE -> question.length();
      case RETRIEVE -> service.catalogueSize();
      case RERANK -> documents.size();
      case GENERATE -> maxTokens;
      case PLAIN -> 1;
    };
  }

  /**
   * Returns the amount that a later stage's cost will grow with, as far as it is known beforehand.
   *
   * @param service the service that runs the stage, not null
   * @param candidates documents that earlier stages are expected to return
   * @return the amount
   */
  public double expectedUnits(Service service, int candidates) {
    return service.kind() == StageKind.RERANK ? candidates : units(service);
  }
}

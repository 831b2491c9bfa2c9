package org.arbutusspar.core.request;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.StageKind;

/**
 * Data of a request that its stages read and write. Immutable.
 *
 * @param question question of the caller; for a plain service, the JSON body of the call
 * @param maxTokens maximum length of the answer, in tokens
 * @param embedding embedding vector of the question; empty before the encode stage
 * @param documents documents found by the stages that have run, best first
 * @param answer answer to the caller; empty before the stage that writes it
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
   * Returns the data of a request before its first stage.
   *
   * @param question question or JSON body, not null
   * @param maxTokens maximum length of the answer, in tokens
   * @return the data
   */
  public static RequestData of(String question, int maxTokens) {
    return new RequestData(question, maxTokens, List.of(), List.of(), "");
  }

  /** Returns a copy with another embedding vector. */
  RequestData withEmbedding(List<Double> newEmbedding) {
    return new RequestData(question, maxTokens, newEmbedding, documents, answer);
  }

  /** Returns a copy with other documents. */
  RequestData withDocuments(List<Document> newDocuments) {
    return new RequestData(question, maxTokens, embedding, newDocuments, answer);
  }

  /** Returns a copy with another answer. */
  RequestData withAnswer(String newAnswer) {
    return new RequestData(question, maxTokens, embedding, documents, newAnswer);
  }

  /**
   * Returns the size of the call of a stage, in units of the cost driver of its service.
   *
   * @param service the service that runs the stage, not null
   * @return characters of the question for an encode stage, documents in the catalogue for a
   *     retrieve stage, candidates for a rerank stage, maximum tokens for a generate stage, and 1
   *     for a plain service
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
   * Returns the expected size of the call of a stage that is not the next one, in units of the cost
   * driver of its service.
   *
   * @param service the service that runs the stage, not null
   * @param candidates number of documents that earlier stages are expected to return
   * @return the expected size: {@code candidates} for a rerank stage, else as {@link #units}
   */
  public double expectedUnits(Service service, int candidates) {
    return service.kind() == StageKind.RERANK ? candidates : units(service);
  }
}

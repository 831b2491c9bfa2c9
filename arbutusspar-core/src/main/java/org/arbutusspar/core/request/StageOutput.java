package org.arbutusspar.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;

/**
 * Decoded output of one attempt to run a stage. It is validated against the stage and the request
 * data when it is applied.
 */
public sealed interface StageOutput {

  /**
   * Validates the output and returns the request data after the stage.
   *
   * @param data request data before the stage, not null
   * @param stage stage that produced the output, not null
   * @return the data with this output
   * @throws StageOutputException if the output is not valid for the stage or the data
   */
  RequestData applyTo(RequestData data, Stage stage) throws StageOutputException;

  /** Throws an exception unless the stage is of a kind. */
  private static void requireKind(Stage stage, StageKind kind) throws StageOutputException {
    require(stage.kind() == kind, "output is of another kind than the stage");
  }

  private static void require(boolean condition, String message) throws StageOutputException {
    if (!condition) {
      throw new StageOutputException(message);
    }
  }

  /**
   * Output of an encode stage.
   *
   * @param embedding embedding vector, not empty and of finite numbers if valid
   */
  record Encoded(List<Double> embedding) implements StageOutput {

    /** Copies the list. */
    public Encoded {
      embedding = List.copyOf(embedding);
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.ENCODE);
      require(!embedding.isEmpty(), "embedding is empty");
      for (Double each : embedding) {
        require(Double.isFinite(each), "embedding contains a number that is not finite");
      }
      return data.withEmbedding(embedding);
    }
  }

  /**
   * Output of a retrieve stage.
   *
   * @param documents documents that were found, best first
   */
  record Retrieved(List<Document> documents) implements StageOutput {

    /** Copies the list. */
    public Retrieved {
      documents = List.copyOf(documents);
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.RETRIEVE);
      require(
          documents.size() <= Stage.MAX_LIMIT, "output has more documents than a stage may return");
      return data.withDocuments(documents);
    }
  }

  /**
   * Output of a rerank stage.
   *
   * @param order zero-based positions of the selected candidates, best first
   */
  record Ranked(List<Integer> order) implements StageOutput {

    /** Copies the list. */
    public Ranked {
      order = List.copyOf(order);
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.RERANK);
      Set<Integer> positions = new HashSet<>();
      for (int position : order) {
        require(
            position >= 0 && position < data.documents().size(),
            "output refers to a position without a candidate");
        require(positions.add(position), "output contains a candidate twice");
      }
      List<Document> selected = order.stream().map(data.documents()::get).toList();
      return data.withDocuments(selected);
    }
  }

  /**
   * Output of a generate stage.
   *
   * @param text generated answer
   * @param complete whether the stream of the replica ended with its end marker
   */
  record Generated(String text, boolean complete) implements StageOutput {

    /** Checks the component. */
    public Generated {
      Objects.requireNonNull(text, "text");
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.GENERATE);
      require(complete, "stream ended without its end marker");
      return data.withAnswer(text);
    }
  }

  /**
   * Output of a plain service.
   *
   * @param body JSON body of the response
   */
  record Plain(String body) implements StageOutput {

    /** Checks the component. */
    public Plain {
      Objects.requireNonNull(body, "body");
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.PLAIN);
      return data.withAnswer(body);
    }
  }
}

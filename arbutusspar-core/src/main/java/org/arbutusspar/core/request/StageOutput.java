package org.arbutusspar.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;

/** Output of one attempt at one stage, decoded but not yet checked against the request. */
public sealed interface StageOutput {

  /**
   * Returns the data after the stage.
   *
   * @param data the data before the stage, not null
   * @param stage the stage, not null
   * @return the new data
   * @throws StageOutputException if the output does not fit the stage or the data
   */
  RequestData applyTo(RequestData data, Stage stage) throws StageOutputException;

  /** Fails unless the stage is of the given kind. */
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
   * @param embedding the vector, finite numbers
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
        require(Double.isFinite(each), "embedding holds a number that is not finite");
      }
      return data.withEmbedding(embedding);
    }
  }

  /**
   * Output of a retrieve stage.
   *
   * @param documents documents, best first
   */
  record Retrieved(List<Document> documents) implements StageOutput {

    /** Copies the list. */
    public Retrieved {
      documents = List.copyOf(documents);
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.RETRIEVE);
      require(documents.size() <= Stage.MAX_LIMIT, "more documents than a stage may return");
      return data.withDocuments(documents);
    }
  }

  /**
   * Output of a rerank stage.
   *
   * @param order positions of the kept candidates, best first
   */
  record Ranked(List<Integer> order) implements StageOutput {

    /** Copies the list. */
    public Ranked {
      order = List.copyOf(order);
    }

    @Override
    public RequestData applyTo(RequestData data, Stage stage) throws StageOutputException {
      requireKind(stage, StageKind.RERANK);
      Set<Integer> seen = new HashSet<>();
      for (int position : order) {
        require(position >= 0 && position < data.documents().size(), "rank names no candidate");
        require(seen.add(position), "rank names a candidate twice");
      }
      List<Document> kept = order.stream().map(data.documents()::get).toList();
      return data.withDocuments(kept);
    }
  }

  /**
   * Output of a generate stage.
   *
   * @param text the answer
   * @param complete whether the stream ended with its end marker
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
   * @param body JSON body of the answer
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

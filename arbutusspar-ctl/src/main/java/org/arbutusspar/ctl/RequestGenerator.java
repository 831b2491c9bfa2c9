package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.io.codec.Mappers;

/** Generates the random requests of a load test from its workload. */
final class RequestGenerator {

  private static final String[] WORDS = {
    "crown", "angel", "shepherd", "wing", "robe", "troupe", "oil", "grade", "drum", "van", "depot"
  };

  private final Workload workload;
  private final UniformRandomProvider random;
  private final double streamShare;
  private final String runId;
  private long nextNumber;

  private RequestGenerator(
      Workload workload, UniformRandomProvider random, double streamShare, String runId) {
    this.workload = workload;
    this.random = random;
    this.streamShare = streamShare;
    this.runId = runId;
  }

  /**
   * Creates a generator.
   *
   * @param workload mix of requests
   * @param random source of randomness
   * @param streamShare share of pipeline requests that ask for a stream, from 0 to 1
   * @param runId start of each identifier's second part, unique to the run
   * @return the generator
   */
  static RequestGenerator create(
      Workload workload, UniformRandomProvider random, double streamShare, String runId) {
    return new RequestGenerator(workload, random, streamShare, runId);
  }

  /** Returns the next request. */
  CallSpec nextRequest() {
    Workload.Caller workspace = drawWeighted(workload.workspaces(), Workload.Caller::weight);
    Workload.Target target = drawWeighted(workload.targets(), Workload.Target::weight);
    boolean service = target.isService();
    long number = nextNumber++;
    boolean streaming = random.nextDouble() < streamShare && !service;
    return new CallSpec(
        (service ? "/v1/services/" : "/v1/pipelines/") + target.name(),
        workspace.name(),
        workspace.key(),
        runId + "-" + number,
        service ? serviceBody(number) : pipelineBody(target, number),
        service,
        !service || target.repeatable(),
        streaming,
        target.deadlineMs());
  }

  /** Draws an item with a probability proportional to its weight. */
  private <T> T drawWeighted(List<T> items, ToDoubleFunction<T> weight) {
    double remainingWeight = random.nextDouble() * items.stream().mapToDouble(weight).sum();
    for (T item : items) {
      remainingWeight -= weight.applyAsDouble(item);
      if (remainingWeight <= 0) {
        return item;
      }
    }
    return items.get(0);
  }

  private String serviceBody(long number) {
    return "{\"item\":\"" + randomWord() + "\",\"number\":" + number + "}";
  }

  private String pipelineBody(Workload.Target target, long number) {
    int chars = randomBetween(target.minChars(), target.maxChars());
    StringBuilder question = new StringBuilder("question " + runId + "-" + number);
    while (question.length() < chars) {
      question.append(' ').append(randomWord());
    }
    ObjectNode body = Mappers.json().createObjectNode();
    body.put("question", question.toString());
    body.put("maxTokens", randomBetween(target.minTokens(), target.maxTokens()));
    return body.toString();
  }

  private String randomWord() {
    return WORDS[random.nextInt(WORDS.length)];
  }

  /** Returns a uniform random number between two bounds, both inclusive. */
  private int randomBetween(int min, int max) {
    return max <= min ? min : min + random.nextInt(max - min + 1);
  }

  /**
   * Returns whether an answer of the stand-ins is complete and belongs to its request. A pipeline's
   * answer must start with the hash of the question and end with an end marker; a service's answer
   * must contain the hash of the request body.
   *
   * @param spec the request
   * @param result its result
   * @return whether the answer is correct; true if there is no answer
   */
  static boolean isCorrect(CallSpec spec, CallResult result) {
    if (!result.isAnswered()) {
      return true;
    }
    try {
      if (spec.plainService()) {
        String digest = result.body().orElseThrow().path("answer").path("digest").asText();
        return digest.equals(Long.toHexString(Rendezvous.hash(spec.body())));
      }
      String question = Mappers.json().readTree(spec.body()).path("question").asText();
      String answer = result.body().orElseThrow().path("answer").asText();
      return answer.startsWith("[" + Long.toHexString(Rendezvous.hash(question)) + "]")
          && answer.endsWith("[end]")
          && !result.corrupt();
    } catch (JsonProcessingException e) {
      return false;
    }
  }
}

package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.io.codec.Mappers;

/** Draws the requests of a load from its workload. */
final class RequestMaker {

  private static final String[] WORDS = {
    "crown", "angel", "shepherd", "wing", "robe", "troupe", "oil", "grade", "drum", "van", "depot"
  };

  private final Workload workload;
  private final UniformRandomProvider random;
  private final double streamShare;
  private final String run;
  private long next;

  private RequestMaker(
      Workload workload, UniformRandomProvider random, double streamShare, String run) {
    this.workload = workload;
    this.random = random;
    this.streamShare = streamShare;
    this.run = run;
  }

  static RequestMaker create(
      Workload workload, UniformRandomProvider random, double streamShare, String run) {
    return new RequestMaker(workload, random, streamShare, run);
  }

  /** Returns the next request. */
  CallSpec next() {
    Workload.Caller caller = draw(workload.workspaces(), Workload.Caller::weight);
    Workload.Target target = draw(workload.targets(), Workload.Target::weight);
    boolean service = target.isService();
    long number = next++;
    boolean streaming = random.nextDouble() < streamShare && !service;
    return new CallSpec(
        (service ? "/v1/services/" : "/v1/pipelines/") + target.name(),
        caller.name(),
        caller.key(),
        run + "-" + number,
        service ? serviceBody(number) : pipelineBody(target, number),
        service,
        !service || target.repeatable(),
        streaming,
        target.deadlineMs());
  }

  /** Draws an item with a probability that grows with its weight. */
  private <T> T draw(List<T> items, ToDoubleFunction<T> weight) {
    double left = random.nextDouble() * items.stream().mapToDouble(weight).sum();
    for (T each : items) {
      left -= weight.applyAsDouble(each);
      if (left <= 0) {
        return each;
      }
    }
    return items.get(0);
  }

  private String serviceBody(long number) {
    return "{\"item\":\"" + word() + "\",\"number\":" + number + "}";
  }

  private String pipelineBody(Workload.Target target, long number) {
    int chars = between(target.minChars(), target.maxChars());
    StringBuilder question = new StringBuilder("question " + run + "-" + number);
    while (question.length() < chars) {
      question.append(' ').append(word());
    }
    ObjectNode body = Mappers.json().createObjectNode();
    body.put("question", question.toString());
    body.put("maxTokens", between(target.minTokens(), target.maxTokens()));
    return body.toString();
  }

  private String word() {
    return WORDS[random.nextInt(WORDS.length)];
  }

  private int between(int min, int max) {
    return max <= min ? min : min + random.nextInt(max - min + 1);
  }

  /**
   * Returns whether an answer of the stand-ins belongs whole to its request: it starts with a
   * digest of the question and ends with an end mark.
   */
  static boolean isRight(CallSpec spec, CallResult result) {
    if (!result.isAnswered()) {
      return true;
    }
    try {
      if (spec.service()) {
        String digest = result.body().orElseThrow().path("answer").path("digest").asText();
        return digest.equals(Long.toHexString(Rendezvous.hash(spec.body())));
      }
      String question = Mappers.json().readTree(spec.body()).path("question").asText();
      String answer = result.body().orElseThrow().path("answer").asText();
      return answer.startsWith("[" + Long.toHexString(Rendezvous.hash(question)) + "]")
          && answer.endsWith("[end]")
          && !result.streamBroken();
    } catch (JsonProcessingException e) {
      return false;
    }
  }
}

package org.arbutusspar.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.config.Pipeline;
import org.arbutusspar.core.config.Workspace;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.PrefixSigner;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.member.AddressAnswer;
import org.arbutusspar.core.member.AddressBook;
import org.arbutusspar.core.member.MemberRecord;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.codec.Sha256;
import org.arbutusspar.io.http.Exchange;

/** What callers can ask of an instance over HTTP. */
final class CallerApi {

  /** Header field with the identifier of a request. */
  static final String HEADER_ID = "Arbutus-Request-Id";

  /** Header field with the time until the answer is due, in milliseconds. */
  static final String HEADER_DEADLINE = "Arbutus-Deadline-Ms";

  /** Header field that says whether a call of a plain service may be repeated. */
  static final String HEADER_REPEATABLE = "Arbutus-Repeatable";

  private static final String PIPELINES = "/v1/pipelines/";
  private static final String SERVICES = "/v1/services/";
  private static final String REQUESTS = "/v1/requests/";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_TOKENS = 16_384;
  private static final int DEFAULT_TOKENS = 128;
  private static final int MAX_QUESTION_CHARS = 100_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 6_000;
  private static final long DEFAULT_ASK_MILLIS = 5_000;

  private final DecisionRuntime runtime;
  private final DecisionLoop loop;
  private final PeerLinks peers;
  private final AddressBook addresses;
  private final PrefixSigner signer;

  private CallerApi(
      DecisionRuntime runtime,
      DecisionLoop loop,
      PeerLinks peers,
      AddressBook addresses,
      PrefixSigner signer) {
    this.runtime = runtime;
    this.loop = loop;
    this.peers = peers;
    this.addresses = addresses;
    this.signer = signer;
  }

  static CallerApi create(
      DecisionRuntime runtime,
      DecisionLoop loop,
      PeerLinks peers,
      AddressBook addresses,
      PrefixSigner signer) {
    return new CallerApi(
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(peers, "fellows"),
        Objects.requireNonNull(addresses, "addresses"),
        Objects.requireNonNull(signer, "signer"));
  }

  /**
   * Answers an exchange if it is a caller's.
   *
   * @return false if its path belongs to nobody
   */
  boolean handle(Exchange exchange) {
    String path = exchange.path();
    boolean post = exchange.method().equals("POST");
    boolean get = exchange.method().equals("GET");
    try {
      if (get && path.equals("/v1/addresses")) {
        addresses(exchange);
      } else if (post && path.startsWith(PIPELINES)) {
        submit(exchange, path.substring(PIPELINES.length()), false);
      } else if (post && path.startsWith(SERVICES)) {
        submit(exchange, path.substring(SERVICES.length()), true);
      } else if (get && path.startsWith(REQUESTS)) {
        ask(exchange, path.substring(REQUESTS.length()));
      } else {
        return false;
      }
    } catch (BadRequestException e) {
      e.answer(exchange);
    }
    return true;
  }

  /** Hands a request that was understood to the decision thread, or refuses it. */
  private void onLoop(Exchange exchange, Runnable task) {
    if (!loop.offer(task)) {
      exchange.reply(
          UNAVAILABLE,
          Map.of("Retry-After", "1"),
          "{\"outcome\":\"not_run\",\"reason\":\"instance_full\",\"comeBackMs\":1000}");
    }
  }

  private void addresses(Exchange exchange) {
    Optional<DataCentre> dataCentre = exchange.query("dc").map(CallerApi::dataCentre);
    onLoop(exchange, () -> answerAddresses(exchange, dataCentre));
  }

  private void answerAddresses(Exchange exchange, Optional<DataCentre> dataCentre) {
    AddressAnswer answer = addresses.answer(peers.membership().serving(), dataCentre);
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("keepMs", answer.keepMillis());
    ArrayNode list = node.putArray("addresses");
    for (MemberRecord member : answer.instances()) {
      list.addObject()
          .put("instance", member.instance().value())
          .put("endpoint", member.callers().toString())
          .put("dataCentre", member.dataCentre().value())
          .put("prefix", signer.issue(member.home(), System.currentTimeMillis()).toString());
    }
    exchange.reply(OK, Map.of(), node.toString());
  }

  private static DataCentre dataCentre(String text) {
    try {
      return DataCentre.of(text);
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(e.getMessage());
    }
  }

  private void submit(Exchange exchange, String name, boolean service) {
    Workspace workspace = authenticate(exchange);
    ObjectName target = objectName(name);
    boolean repeatable = !service || flag(exchange, HEADER_REPEATABLE);
    Optional<RequestId> given = exchange.header(HEADER_ID).map(this::requestId);
    if (!repeatable && given.isEmpty()) {
      throw BadRequestException.malformed("a request that may not be repeated needs " + HEADER_ID);
    }
    boolean streaming =
        !service && exchange.header("Accept").filter(a -> a.contains("event-stream")).isPresent();
    Request request =
        new Request(
            new RequestKey(workspace.id(), given.orElseGet(this::newId)),
            new Request.Target(
                service ? Request.TargetKind.SERVICE : Request.TargetKind.PIPELINE, target),
            service ? serviceData(exchange) : pipelineData(exchange),
            repeatable,
            given.isPresent() || streaming,
            deadlineNanos(exchange, target),
            Rendezvous.hash(exchange.path() + "\n" + exchange.body()) | 1);
    start(exchange, request, service, streaming);
  }

  private void start(Exchange exchange, Request request, boolean service, boolean streaming) {
    CallerId caller = runtime.newCaller();
    HttpReplyTarget target =
        HttpReplyTarget.create(
            exchange,
            service,
            Map.of(HEADER_ID, request.key().id().toString()),
            () -> loop.post(() -> onLeft(caller, request.key())));
    onLoop(
        exchange,
        () -> {
          runtime.register(caller, target);
          runtime.handle(new Event.Arrive(request, caller, streaming));
        });
  }

  private void onLeft(CallerId caller, RequestKey key) {
    runtime.forget(caller);
    runtime.handle(new Event.CallerLeft(caller, key));
  }

  private void ask(Exchange exchange, String text) {
    Workspace workspace = authenticate(exchange);
    RequestKey key = new RequestKey(workspace.id(), requestId(text));
    long wait = number(exchange.query("waitMs"), "waitMs").orElse(DEFAULT_ASK_MILLIS);
    boolean service = exchange.query("kind").filter("service"::equals).isPresent();
    HttpReplyTarget target = HttpReplyTarget.create(exchange, service, Map.of(), () -> {});
    long deadline = System.nanoTime() + nanos(wait);
    onLoop(exchange, () -> runtime.handle(new Event.Ask(key, runtime.register(target), deadline)));
  }

  private Workspace authenticate(Exchange exchange) {
    String prefix = "Bearer ";
    return exchange
        .header("Authorization")
        .filter(value -> value.startsWith(prefix))
        .map(value -> Sha256.hex(value.substring(prefix.length())))
        .flatMap(hash -> runtime.config().workspaceByKeyHash(hash))
        .orElseThrow(BadRequestException::unauthorized);
  }

  private RequestId requestId(String text) {
    try {
      RequestId id = RequestId.parse(text);
      if (signer.isGenuine(id.prefix())) {
        return id;
      }
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(HEADER_ID + ": " + e.getMessage());
    }
    throw BadRequestException.malformed(HEADER_ID + ": signature is not genuine");
  }

  private RequestId newId() {
    UniformRandomProvider random =
        ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
    String suffix = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    return new RequestId(signer.issue(peers.self().home(), System.currentTimeMillis()), suffix);
  }

  private static ObjectName objectName(String text) {
    try {
      return ObjectName.of(text);
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(e.getMessage());
    }
  }

  private static boolean flag(Exchange exchange, String header) {
    String value = exchange.header(header).orElse("false");
    if (!value.equals("true") && !value.equals("false")) {
      throw BadRequestException.malformed(header + " must be true or false");
    }
    return value.equals("true");
  }

  private static Optional<Long> number(Optional<String> text, String what) {
    if (text.isEmpty()) {
      return Optional.empty();
    }
    if (!text.get().matches("[0-9]{1,6}")) {
      throw BadRequestException.malformed(what + " must be a whole number of milliseconds");
    }
    long value = Long.parseLong(text.get());
    if (value > Pipeline.MAX_DEADLINE_MILLIS) {
      throw BadRequestException.malformed(
          what + " must be at most " + Pipeline.MAX_DEADLINE_MILLIS);
    }
    return Optional.of(value);
  }

  private long deadlineNanos(Exchange exchange, ObjectName target) {
    long fallback =
        runtime
            .config()
            .pipeline(target)
            .map(Pipeline::deadlineMillis)
            .orElse(DEFAULT_DEADLINE_MILLIS);
    long millis = number(exchange.header(HEADER_DEADLINE), HEADER_DEADLINE).orElse(fallback);
    return System.nanoTime() + nanos(millis);
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static JsonNode json(Exchange exchange) {
    try {
      JsonNode node = Mappers.json().readTree(exchange.body());
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (JsonProcessingException e) {
      throw BadRequestException.malformed("body is not JSON");
    }
    throw BadRequestException.malformed("body must be a JSON object");
  }

  private static RequestData serviceData(Exchange exchange) {
    json(exchange);
    return RequestData.of(exchange.body(), 1);
  }

  private static RequestData pipelineData(Exchange exchange) {
    JsonNode body = json(exchange);
    JsonNode question = body.path("question");
    boolean usable =
        question.isTextual()
            && !question.asText().isBlank()
            && question.asText().length() <= MAX_QUESTION_CHARS;
    if (!usable) {
      throw BadRequestException.malformed("question must be a text of 1 to 100000 characters");
    }
    JsonNode tokens = body.path("maxTokens");
    if (!tokens.isMissingNode() && !tokens.canConvertToInt()) {
      throw BadRequestException.malformed("maxTokens must be a whole number");
    }
    int max = tokens.isMissingNode() ? DEFAULT_TOKENS : tokens.asInt();
    if (max < 1 || max > MAX_TOKENS) {
      throw BadRequestException.malformed("maxTokens must be from 1 to " + MAX_TOKENS);
    }
    return RequestData.of(question.asText(), max);
  }
}

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
  static final String REQUEST_ID_HEADER = "Arbutus-Request-Id";

  /** Header field with the time until the answer is due, in milliseconds. */
  static final String DEADLINE_HEADER = "Arbutus-Deadline-Ms";

  /** Header field that says whether a call of a plain service may be repeated. */
  static final String REPEATABLE_HEADER = "Arbutus-Repeatable";

  private static final String PIPELINES_PATH = "/v1/pipelines/";
  private static final String SERVICES_PATH = "/v1/services/";
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_TOKENS_LIMIT = 16_384;
  private static final int DEFAULT_MAX_TOKENS = 128;
  private static final int MAX_QUESTION_CHARS = 100_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 6_000;
  private static final long DEFAULT_WAIT_MILLIS = 5_000;

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
      } else if (post && path.startsWith(PIPELINES_PATH)) {
        submit(exchange, path.substring(PIPELINES_PATH.length()), false);
      } else if (post && path.startsWith(SERVICES_PATH)) {
        submit(exchange, path.substring(SERVICES_PATH.length()), true);
      } else if (get && path.startsWith(REQUESTS_PATH)) {
        queryOutcome(exchange, path.substring(REQUESTS_PATH.length()));
      } else {
        return false;
      }
    } catch (BadRequestException e) {
      e.replyTo(exchange);
    }
    return true;
  }

  /** Hands a request that was understood to the decision thread, or refuses it. */
  private void postOrReject(Exchange exchange, Runnable task) {
    if (!loop.offer(task)) {
      exchange.reply(
          UNAVAILABLE,
          Map.of("Retry-After", "1"),
          "{\"outcome\":\"not_run\",\"reason\":\"instance_full\",\"comeBackMs\":1000}");
    }
  }

  private void addresses(Exchange exchange) {
    Optional<DataCentre> dataCentre = exchange.query("dc").map(CallerApi::parseDataCentre);
    postOrReject(exchange, () -> replyAddresses(exchange, dataCentre));
  }

  private void replyAddresses(Exchange exchange, Optional<DataCentre> dataCentre) {
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

  private static DataCentre parseDataCentre(String text) {
    try {
      return DataCentre.of(text);
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(e.getMessage());
    }
  }

  private void submit(Exchange exchange, String name, boolean plainService) {
    Workspace workspace = authenticate(exchange);
    ObjectName target = parseName(name);
    boolean repeatable = !plainService || booleanHeader(exchange, REPEATABLE_HEADER);
    Optional<RequestId> givenId = exchange.header(REQUEST_ID_HEADER).map(this::parseRequestId);
    if (!repeatable && givenId.isEmpty()) {
      throw BadRequestException.malformed(
          "a request that may not be repeated needs " + REQUEST_ID_HEADER);
    }
    boolean streaming =
        !plainService
            && exchange
                .header("Accept")
                .filter(value -> value.contains("event-stream"))
                .isPresent();
    Request request =
        new Request(
            new RequestKey(workspace.id(), givenId.orElseGet(this::newId)),
            new Request.Target(
                plainService ? Request.TargetKind.SERVICE : Request.TargetKind.PIPELINE, target),
            plainService ? serviceData(exchange) : pipelineData(exchange),
            repeatable,
            givenId.isPresent() || streaming,
            deadlineNanos(exchange, target),
            Rendezvous.hash(exchange.path() + "\n" + exchange.body()) | 1);
    startRequest(exchange, request, plainService, streaming);
  }

  private void startRequest(
      Exchange exchange, Request request, boolean plainService, boolean streaming) {
    CallerId caller = runtime.newCaller();
    HttpReplyTarget target =
        HttpReplyTarget.create(
            exchange,
            plainService,
            Map.of(REQUEST_ID_HEADER, request.key().id().toString()),
            () -> loop.post(() -> onCallerLeft(caller, request.key())));
    postOrReject(
        exchange,
        () -> {
          runtime.register(caller, target);
          runtime.handle(new Event.Arrive(request, caller, streaming));
        });
  }

  private void onCallerLeft(CallerId caller, RequestKey key) {
    runtime.unregister(caller);
    runtime.handle(new Event.CallerLeft(caller, key));
  }

  private void queryOutcome(Exchange exchange, String text) {
    Workspace workspace = authenticate(exchange);
    RequestKey key = new RequestKey(workspace.id(), parseRequestId(text));
    long waitMillis = parseMillis(exchange.query("waitMs"), "waitMs").orElse(DEFAULT_WAIT_MILLIS);
    boolean plainService = exchange.query("kind").filter("service"::equals).isPresent();
    HttpReplyTarget target = HttpReplyTarget.create(exchange, plainService, Map.of(), () -> {});
    long waitEndNanos = System.nanoTime() + toNanos(waitMillis);
    postOrReject(
        exchange, () -> runtime.handle(new Event.Ask(key, runtime.register(target), waitEndNanos)));
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

  private RequestId parseRequestId(String text) {
    try {
      RequestId id = RequestId.parse(text);
      if (signer.isGenuine(id.prefix())) {
        return id;
      }
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(REQUEST_ID_HEADER + ": " + e.getMessage());
    }
    throw BadRequestException.malformed(REQUEST_ID_HEADER + ": signature is not genuine");
  }

  private RequestId newId() {
    UniformRandomProvider random =
        ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
    String suffix = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    return new RequestId(signer.issue(peers.self().home(), System.currentTimeMillis()), suffix);
  }

  private static ObjectName parseName(String text) {
    try {
      return ObjectName.of(text);
    } catch (IllegalArgumentException e) {
      throw BadRequestException.malformed(e.getMessage());
    }
  }

  private static boolean booleanHeader(Exchange exchange, String header) {
    String value = exchange.header(header).orElse("false");
    if (!value.equals("true") && !value.equals("false")) {
      throw BadRequestException.malformed(header + " must be true or false");
    }
    return value.equals("true");
  }

  private static Optional<Long> parseMillis(Optional<String> text, String field) {
    if (text.isEmpty()) {
      return Optional.empty();
    }
    if (!text.get().matches("[0-9]{1,6}")) {
      throw BadRequestException.malformed(field + " must be a whole number of milliseconds");
    }
    long value = Long.parseLong(text.get());
    if (value > Pipeline.MAX_DEADLINE_MILLIS) {
      throw BadRequestException.malformed(
          field + " must be at most " + Pipeline.MAX_DEADLINE_MILLIS);
    }
    return Optional.of(value);
  }

  private long deadlineNanos(Exchange exchange, ObjectName target) {
    long defaultMillis =
        runtime
            .config()
            .pipeline(target)
            .map(Pipeline::deadlineMillis)
            .orElse(DEFAULT_DEADLINE_MILLIS);
    long millis =
        parseMillis(exchange.header(DEADLINE_HEADER), DEADLINE_HEADER).orElse(defaultMillis);
    return System.nanoTime() + toNanos(millis);
  }

  private static long toNanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static JsonNode readObject(Exchange exchange) {
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
    readObject(exchange);
    return RequestData.of(exchange.body(), 1);
  }

  private static RequestData pipelineData(Exchange exchange) {
    JsonNode body = readObject(exchange);
    JsonNode question = body.path("question");
    boolean valid =
        question.isTextual()
            && !question.asText().isBlank()
            && question.asText().length() <= MAX_QUESTION_CHARS;
    if (!valid) {
      throw BadRequestException.malformed("question must be a text of 1 to 100000 characters");
    }
    JsonNode tokensNode = body.path("maxTokens");
    if (!tokensNode.isMissingNode() && !tokensNode.canConvertToInt()) {
      throw BadRequestException.malformed("maxTokens must be a whole number");
    }
    int maxTokens = tokensNode.isMissingNode() ? DEFAULT_MAX_TOKENS : tokensNode.asInt();
    if (maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
      throw BadRequestException.malformed("maxTokens must be from 1 to " + MAX_TOKENS_LIMIT);
    }
    return RequestData.of(question.asText(), maxTokens);
  }
}

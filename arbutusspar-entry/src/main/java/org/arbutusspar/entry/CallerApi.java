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

/**
 * HTTP API for callers: returns instance addresses, accepts requests for pipelines and plain
 * services, and returns stored outcomes by identifier. Thread-safe: requests are parsed on the HTTP
 * threads and passed to the decision thread as tasks.
 */
final class CallerApi {

  /** Header field with the identifier of a request. */
  static final String REQUEST_ID_HEADER = "Arbutus-Request-Id";

  /** Header field with the time from arrival to the deadline, in milliseconds. */
  static final String DEADLINE_HEADER = "Arbutus-Deadline-Ms";

  /**
   * Header field that says whether a call of a plain service may run more than once: {@code true}
   * or {@code false}, which is the default.
   */
  static final String REPEATABLE_HEADER = "Arbutus-Repeatable";

  private static final String PIPELINES_PATH = "/v1/pipelines/";
  private static final String SERVICES_PATH = "/v1/services/";
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  /** Maximum value of {@code maxTokens} that a caller may send, in tokens. */
  private static final int MAX_TOKENS_LIMIT = 16_384;

  /** Maximum length of an answer if the caller sends no {@code maxTokens}, in tokens. */
  private static final int DEFAULT_MAX_TOKENS = 128;

  private static final int MAX_QUESTION_CHARS = 100_000;

  /** Time to the deadline for targets that are no pipeline, if the caller sends none. */
  private static final long DEFAULT_DEADLINE_MILLIS = 6_000;

  /** Time for which a query waits for an outcome, if the caller sends no {@code waitMs}. */
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

  /**
   * Returns the API of an instance.
   *
   * @param runtime runs the requests, not null
   * @param loop loop of the decision thread, not null
   * @param peers source of the membership, not null
   * @param addresses selects the addresses that callers get, not null
   * @param signer issues and verifies the prefixes of request identifiers, not null
   * @return the API
   */
  static CallerApi create(
      DecisionRuntime runtime,
      DecisionLoop loop,
      PeerLinks peers,
      AddressBook addresses,
      PrefixSigner signer) {
    return new CallerApi(
        Objects.requireNonNull(runtime, "runtime"),
        Objects.requireNonNull(loop, "loop"),
        Objects.requireNonNull(peers, "peers"),
        Objects.requireNonNull(addresses, "addresses"),
        Objects.requireNonNull(signer, "signer"));
  }

  /**
   * Handles an exchange if its method and path belong to this API.
   *
   * @param exchange the exchange, not null
   * @return false if the exchange was not handled and has no response yet
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

  /**
   * Queues a task for the decision thread. If its queue is full, the exchange is rejected with
   * status 503 and the request does not run.
   */
  private void postOrReject(Exchange exchange, Runnable task) {
    if (!loop.offer(task)) {
      exchange.reply(
          UNAVAILABLE,
          Map.of("Retry-After", "1"),
          "{\"outcome\":\"not_run\",\"reason\":\"instance_full\",\"comeBackMs\":1000}");
    }
  }

  /** Responds with addresses of instances, and with a signed identifier prefix for each. */
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

  /**
   * Parses a request for a pipeline or plain service and starts it. The outcome is stored for later
   * queries if the caller chose the identifier or streams the answer.
   */
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
            // Sets the lowest bit because 0 is reserved: it matches every fingerprint.
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

  /** Responds with the outcome of an earlier request, for which it waits up to {@code waitMs}. */
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

  /** Returns the workspace to which the API key in the Authorization field belongs. */
  private Workspace authenticate(Exchange exchange) {
    String prefix = "Bearer ";
    return exchange
        .header("Authorization")
        .filter(value -> value.startsWith(prefix))
        .map(value -> Sha256.hex(value.substring(prefix.length())))
        .flatMap(hash -> runtime.config().workspaceByKeyHash(hash))
        .orElseThrow(BadRequestException::unauthorized);
  }

  /** Parses a request identifier and verifies that an instance of this deployment signed it. */
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

  /** Returns a new random identifier whose home is this instance. */
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

  /**
   * Parses an optional duration.
   *
   * @param text the text, empty if the caller did not send it
   * @param field name of the header field or parameter, for the error message
   * @return the duration in milliseconds, at most {@link Pipeline#MAX_DEADLINE_MILLIS}
   */
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

  /** Parses the body, which must be a JSON object. */
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

  /** Returns the data of a plain service call; its body may be any JSON object. */
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

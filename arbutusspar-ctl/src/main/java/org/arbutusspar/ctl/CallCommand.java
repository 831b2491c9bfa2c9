package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.UUID;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.HttpCaller;

/** Sends one request to a pipeline or a plain service, and prints the response. */
@Command(
    name = "call",
    description = "Send one question to a pipeline, or one JSON body to a plain service")
public final class CallCommand extends CtlCommand {

  private static final String ENV_KEY = "ARBUTUSCTL_KEY";

  @Arguments(title = "TEXT", description = "Question for a pipeline, or JSON body for a service")
  @Required
  private String text;

  @Option(name = "--pipeline", title = "NAME", description = "Name of the pipeline")
  private String pipeline;

  @Option(name = "--service", title = "NAME", description = "Name of the plain service")
  private String service;

  @Option(
      name = "--key",
      title = "KEY",
      description = "Key of the workspace; preferably set by ARBUTUSCTL_KEY")
  private String key;

  @Option(
      name = "--deadline-ms",
      title = "MS",
      description = "Time until the answer is due, in milliseconds")
  private long deadlineMillis = 6_000;

  @Option(
      name = "--max-tokens",
      title = "N",
      description = "Maximum length of the answer in tokens")
  private int maxTokens = 128;

  @Option(name = "--repeatable", description = "The service may run the request more than once")
  private boolean repeatable;

  @Option(name = "--stream", description = "Ask for a streamed response")
  private boolean stream;

  @Option(name = "--dc", title = "NAME", description = "Data centre of the caller")
  private String dataCentre = "";

  /** Creates the command; used by the command line parser. */
  public CallCommand() {}

  @Override
  ExitCode execute(Output out) {
    if ((pipeline == null) == (service == null)) {
      throw new CtlException(ExitCode.USAGE, "give either --pipeline or --service");
    }
    try (HttpCaller http = newHttp()) {
      AddressCache addresses = AddressCache.create(http, instances(), dataCentre);
      CallResult result = CallerClient.create(http).call(spec(), addresses).join();
      result.body().ifPresentOrElse(out::json, () -> out.line(result.outcome()));
      if (result.corrupt()) {
        return ExitCode.WRONG_ANSWER;
      }
      return result.isAnswered() ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private CallSpec spec() {
    boolean toService = service != null;
    return new CallSpec(
        toService ? "/v1/services/" + service : "/v1/pipelines/" + pipeline,
        "-",
        requiredSetting(key, ENV_KEY, "--key"),
        UUID.randomUUID().toString(),
        toService ? text : questionBody(),
        toService,
        !toService || repeatable,
        stream,
        deadlineMillis);
  }

  private String questionBody() {
    ObjectNode node = Mappers.json().createObjectNode();
    return node.put("question", text).put("maxTokens", maxTokens).toString();
  }
}

package org.arbutusspar.ctl;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.HttpCaller;

/** Base of all commands: options for output, help and the addresses of the deployment. */
abstract class CtlCommand {

  private static final int HTTP_THREADS = 8;
  private static final String ENV_LOG = "ARBUTUSCTL_LOG";
  private static final String ENV_INSTANCES = "ARBUTUSCTL_INSTANCES";
  private static final String ENV_OPERATOR_KEY = "ARBUTUSCTL_OPERATOR_KEY";

  @AirlineModule private HelpOption<CtlCommand> help;

  @Option(name = "--json", description = "Print JSON")
  private boolean json;

  @Option(
      name = "--log",
      title = "URL",
      description = "URL of the platform's log; or set ARBUTUSCTL_LOG")
  private String log;

  @Option(
      name = "--instances",
      title = "IP:PORT,...",
      description = "Entry instances to contact first; or set ARBUTUSCTL_INSTANCES")
  private String instances;

  @Option(
      name = "--operator-key",
      title = "KEY",
      description = "Key of the operators; preferably set by ARBUTUSCTL_OPERATOR_KEY")
  private String operatorKey;

  /**
   * Executes the command.
   *
   * @param out receives the results
   * @return exit code of the process
   */
  abstract ExitCode execute(Output out);

  /** Prints help if requested, otherwise executes the command; returns the exit code. */
  final ExitCode run() {
    if (help.showHelpIfRequested()) {
      return ExitCode.OK;
    }
    return execute(Output.create(System.out, json));
  }

  /**
   * Starts an HTTP client.
   *
   * @param threads number of threads; raised to the default if it is lower
   * @return the client, to be closed by the calling command
   */
  static HttpCaller newHttp(int threads) {
    return HttpCaller.start("ctl", "", Math.max(threads, HTTP_THREADS));
  }

  static HttpCaller newHttp() {
    return newHttp(HTTP_THREADS);
  }

  final URI logUrl() {
    String text = requiredSetting(log, ENV_LOG, "--log");
    try {
      return URI.create(text);
    } catch (IllegalArgumentException e) {
      throw new CtlException(ExitCode.USAGE, "--log: malformed address '" + text + "'");
    }
  }

  final List<Endpoint> instances() {
    return endpoints(requiredSetting(instances, ENV_INSTANCES, "--instances"), "--instances");
  }

  /**
   * Parses a list of endpoints.
   *
   * @param text endpoints as IP:PORT, separated by commas
   * @param option name of the option, for the error message
   * @return the endpoints
   * @throws CtlException if an endpoint is malformed
   */
  static List<Endpoint> endpoints(String text, String option) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (String endpoint : text.split(",")) {
      try {
        endpoints.add(Endpoint.parse(endpoint.trim()));
      } catch (IllegalArgumentException e) {
        throw new CtlException(ExitCode.USAGE, option + ": " + e.getMessage());
      }
    }
    return endpoints;
  }

  final String operatorKey() {
    return requiredSetting(operatorKey, ENV_OPERATOR_KEY, "--operator-key");
  }

  /**
   * Returns a setting from the command line or else from the environment.
   *
   * @param optionValue value of the option, null if it was not given
   * @param variable name of the environment variable
   * @param option name of the option, for the error message
   * @return the value
   * @throws CtlException if neither is set, or the value is blank
   */
  static String requiredSetting(String optionValue, String variable, String option) {
    String value = optionValue != null ? optionValue : System.getenv(variable);
    if (value == null || value.isBlank()) {
      throw new CtlException(ExitCode.USAGE, option + " or " + variable + " is missing");
    }
    return value;
  }
}

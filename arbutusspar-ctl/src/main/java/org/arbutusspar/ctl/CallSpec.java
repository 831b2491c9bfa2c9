package org.arbutusspar.ctl;

/**
 * Request that a caller sends.
 *
 * @param path URL path of the pipeline or service
 * @param workspace name of the workspace that sends it
 * @param workspaceKey secret key of the workspace
 * @param idSuffix second part of the identifier; the first is the prefix of the instance's address
 * @param body JSON body
 * @param plainService whether it goes to a plain service instead of a pipeline
 * @param repeatable whether it may run more than once
 * @param streaming whether the response should be a stream of server-sent events
 * @param deadlineMillis time from sending until the answer is due, in milliseconds
 */
record CallSpec(
    String path,
    String workspace,
    String workspaceKey,
    String idSuffix,
    String body,
    boolean plainService,
    boolean repeatable,
    boolean streaming,
    long deadlineMillis) {}

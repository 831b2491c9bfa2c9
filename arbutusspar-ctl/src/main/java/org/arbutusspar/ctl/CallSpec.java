package org.arbutusspar.ctl;

/**
 * One request to be made.
 *
 * @param path path of the pipeline or service
 * @param workspace name of the workspace
 * @param workspaceKey its key
 * @param idSuffix second part of the identifier
 * @param body JSON body
 * @param plainService whether it goes to a plain service
 * @param repeatable whether it may be repeated
 * @param streaming whether the answer is wanted as a stream
 * @param deadlineMillis time until the answer is due
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

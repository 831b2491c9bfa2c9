package org.arbutusspar.ctl;

/**
 * One request to be made.
 *
 * @param path path of the pipeline or service
 * @param workspace name of the workspace
 * @param key its key
 * @param suffix second part of the identifier
 * @param body JSON body
 * @param service whether it goes to a plain service
 * @param repeatable whether it may be repeated
 * @param streaming whether the answer is wanted as a stream
 * @param deadlineMillis time until the answer is due
 */
record CallSpec(
    String path,
    String workspace,
    String key,
    String suffix,
    String body,
    boolean service,
    boolean repeatable,
    boolean streaming,
    long deadlineMillis) {}

package org.arbutusspar.core.placement;

/**
 * Load of a replica of a model engine. Immutable.
 *
 * @param slots number of requests that it runs at the same time
 * @param requests number of requests at the replica
 * @param heldTokens number of tokens that these requests need in its memory at most
 * @param readingMillis time that it needs to read the prompts that it has not read, in milliseconds
 */
public record EngineLoad(int slots, int requests, long heldTokens, double readingMillis) {}

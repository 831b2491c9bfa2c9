package org.arbutusspar.core.flow;

/**
 * Names one exchange of a caller within an instance.
 *
 * @param value number drawn by the adapter that holds the connection
 */
public record CallerId(long value) {}

package org.arbutusspar.core.flow;

/**
 * Identifier of one request exchange with a caller, unique within an instance.
 *
 * @param value number assigned by the adapter that owns the connection
 */
public record CallerId(long value) {}

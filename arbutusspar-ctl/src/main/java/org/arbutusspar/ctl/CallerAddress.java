package org.arbutusspar.ctl;

import org.arbutusspar.core.balancing.Endpoint;

/**
 * An address that a caller may use.
 *
 * @param endpoint the instance
 * @param idPrefix first part of the identifiers of requests sent there
 */
record CallerAddress(Endpoint endpoint, String idPrefix) {}

package org.arbutusspar.ctl;

import org.arbutusspar.core.balancing.Endpoint;

/**
 * Address of an instance to which a caller may send requests.
 *
 * @param endpoint host and port of the instance
 * @param idPrefix first part of the identifier of each request that is first sent there
 */
record CallerAddress(Endpoint endpoint, String idPrefix) {}

/**
 * Choice of the replica for a request of the gateway, health and load of replicas, and limits on
 * retries.
 */
package org.arbutusspar.core.placement;

/** Choice of the replica for a request, health and load of replicas, and limits on retries. */
package org.arbutusspar.core.placement;

/**
 * Configuration by which a gateway instance serves requests: routes, services, API keys and limits.
 */
package org.arbutusspar.core.routing;

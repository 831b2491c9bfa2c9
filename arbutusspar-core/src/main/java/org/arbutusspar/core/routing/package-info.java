/** Configuration by which an instance serves requests: routes, services, API keys and limits. */
package org.arbutusspar.core.routing;

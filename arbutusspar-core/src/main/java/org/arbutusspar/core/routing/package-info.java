/** What an instance serves: routes, services, workspaces and their keys, in one immutable state. */
package org.arbutusspar.core.routing;

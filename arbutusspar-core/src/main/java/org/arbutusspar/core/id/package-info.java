/** Typed identifiers of instances, workspaces, replicas, requests and attempts. */
package org.arbutusspar.core.id;

/** Clients of the platform: the append-only log and the list of instances and replicas. */
package org.arbutusspar.io.platform;

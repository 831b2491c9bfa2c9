/** Clients of the platform's append-only log and of its list of instances and replicas. */
package org.arbutusspar.io.platform;

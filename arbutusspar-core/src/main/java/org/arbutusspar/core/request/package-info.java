/** Requests, their data on the way through the stages, and the outcomes told to callers. */
package org.arbutusspar.core.request;

/**
 * Stages of the gateway, the work that is done before a request is sent to its service: their
 * pieces, how pieces are queued and batched into calls, and the admission of requests by the
 * expected queue wait.
 */
package org.arbutusspar.core.stage;

/**
 * Decisions of an entry instance about requests: admission, queueing, dispatch, retries and
 * outcomes. They are made by a deterministic state machine that maps each {@link
 * org.arbutusspar.core.flow.Event} to a list of {@link org.arbutusspar.core.flow.Action}s. One
 * thread of the instance, the decision thread, runs it.
 */
package org.arbutusspar.core.flow;

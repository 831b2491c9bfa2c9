/**
 * The decisions of an entry instance: admission, queues, dispatch, retries and outcomes, as a
 * deterministic state machine from {@link org.arbutusspar.core.flow.Event} to {@link
 * org.arbutusspar.core.flow.Action}.
 */
package org.arbutusspar.core.flow;

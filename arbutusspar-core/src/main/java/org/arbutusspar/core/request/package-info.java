/** Requests, the data that stages read and write, and the outcomes that callers receive. */
package org.arbutusspar.core.request;

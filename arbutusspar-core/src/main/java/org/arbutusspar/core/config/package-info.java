/** Configuration objects, and the fold of the log's records into the configuration in force. */
package org.arbutusspar.core.config;

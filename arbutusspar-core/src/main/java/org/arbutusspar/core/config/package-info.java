/**
 * Configuration objects, the log records that change them, and the fold of these records into the
 * configuration in force.
 */
package org.arbutusspar.core.config;

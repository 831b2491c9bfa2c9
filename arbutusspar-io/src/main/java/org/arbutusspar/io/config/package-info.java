/** Reads, merges and checks the folders of YAML files in which operators write configuration. */
package org.arbutusspar.io.config;

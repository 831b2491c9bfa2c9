/** Operators' folders of YAML files: reading, merging and checking. */
package org.arbutusspar.io.config;

package org.arbutusspar.entry.gateway;

import java.util.Arrays;
import org.arbutusspar.core.peer.RowRules;
import org.arbutusspar.platform.ConfigurationReader;

/** Rules of the table of the configuration: the version tells which of two is older. */
final class ConfigurationRules implements RowRules {

  @Override
  public boolean sameContent(byte[] current, byte[] value) {
    return Arrays.equals(current, value);
  }

  @Override
  public boolean isRepeated() {
    return false;
  }

  @Override
  public boolean isOlder(byte[] current, byte[] value) {
    long copied = ConfigurationReader.version(value);
    return copied >= 0 && copied < ConfigurationReader.version(current);
  }
}

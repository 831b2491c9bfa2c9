package org.arbutusspar.core.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class RecentReleasesTest {

  /**
   * Guards against results that use memory until they expire: a batcher loses power, and its peers
   * send releases to it until they detect the loss.
   */
  @Test
  void recentReleasesSentToLostInstanceAreReturnedOnce() {
    RecentReleases releases = RecentReleases.create(1_000);
    releases.record("e-1", List.of("old"), 0);
    releases.record("e-1", List.of("a", "b"), 900);
    releases.record("e-2", List.of("other"), 1_000);
    releases.record("e-1", List.of("c"), 1_500);
    assertEquals(List.of("a", "b", "c"), releases.takeUnconfirmed("e-1", 1_800));
    assertEquals(List.of(), releases.takeUnconfirmed("e-1", 1_800));
    assertEquals(List.of(), releases.takeUnconfirmed("e-2", 2_001));
    assertEquals(List.of(), releases.takeUnconfirmed("unknown", 0));
  }
}

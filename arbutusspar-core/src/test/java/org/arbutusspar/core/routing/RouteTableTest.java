package org.arbutusspar.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the lookup of routes and keys, and the choice of a service by weight. */
class RouteTableTest {

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        1_000,
        100,
        0,
        List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
        2,
        List.of(),
        false,
        false);
  }

  private static String findName(RouteTable table, String host, String path) {
    return table.find(host, path).map(Route::name).orElse("none");
  }

  @Test
  void findReturnsTheRouteWithTheLongestPrefixOfTheHost() {
    RouteTable table =
        RouteTable.of(
            List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("x", "i", "/")));
    assertEquals("long", findName(table, "h", "/a/b/c"));
    assertEquals("short", findName(table, "h:8080", "/a/bc"));
    assertEquals("short", findName(table, "H", "/a/"));
    assertEquals("none", findName(table, "h", "/a"));
    assertEquals("none", findName(table, "h", "/b/a/"));
    assertEquals("x", findName(table, "i", "/anything"));
  }

  @Test
  void serviceIsSelectedByWeight() {
    Route route = route("r", "h", "/");
    long firstService = LongStream.range(0, 1_000).filter(this::selectsFirstService).count();
    assertEquals(900, firstService);
    assertEquals("a", route.service(0));
  }

  private boolean selectsFirstService(long hash) {
    return route("r", "h", "/").service(hash).equals("a");
  }

  @Test
  void prefixWithoutTrailingSlashIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> route("r", "h", "/a"));
  }

  @Test
  void keyRingFindsKeysAndDoesNotExposeThem() {
    KeyOwner owner = new KeyOwner("w", OptionalInt.of(1));
    KeyRing keys = KeyRing.builder().add("secret", owner).build(true);
    assertEquals(Optional.of(owner), keys.find("secret"));
    assertEquals(Optional.empty(), keys.find("Secret"));
    assertTrue(keys.isRequired());
    assertFalse(keys.toString().contains("secret"));
  }

  @Test
  void idempotentRouteIsRetryable() {
    assertTrue(route("r", "h", "/").isRetryable());
  }
}

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

  private static String found(RouteTable table, String host, String path) {
    return table.find(host, path).map(Route::name).orElse("none");
  }

  @Test
  void takesTheLongestPrefixOfTheHost() {
    RouteTable table =
        RouteTable.of(
            List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("x", "i", "/")));
    assertEquals("long", found(table, "h", "/a/b/c"));
    assertEquals("short", found(table, "h:8080", "/a/bc"));
    assertEquals("short", found(table, "H", "/a/"));
    assertEquals("none", found(table, "h", "/a"));
    assertEquals("none", found(table, "h", "/b/a/"));
    assertEquals("x", found(table, "i", "/anything"));
  }

  @Test
  void sharesRequestsByWeight() {
    Route route = route("r", "h", "/");
    long first = LongStream.range(0, 1_000).filter(this::goesToFirst).count();
    assertEquals(900, first);
    assertEquals("a", route.service(0));
  }

  private boolean goesToFirst(long hash) {
    return route("r", "h", "/").service(hash).equals("a");
  }

  @Test
  void refusesPrefixWithoutSlashes() {
    assertThrows(IllegalArgumentException.class, () -> route("r", "h", "/a"));
  }

  @Test
  void keysAreFoundAndNotKept() {
    KeyOwner owner = new KeyOwner("w", OptionalInt.of(1));
    KeyRing keys = KeyRing.builder().add("secret", owner).build(true);
    assertEquals(Optional.of(owner), keys.find("secret"));
    assertEquals(Optional.empty(), keys.find("Secret"));
    assertTrue(keys.isRequired());
    assertFalse(keys.toString().contains("secret"));
  }

  @Test
  void onlyRetryableRoutesSayThatTheyAre() {
    assertTrue(route("r", "h", "/").isRetryable());
  }
}

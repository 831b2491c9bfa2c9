package org.arbutusspar.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class KeyValueLineTest {

  @Test
  void quotesOnlyValuesThatNeedQuoting() {
    String line =
        KeyValueLine.event("route")
            .with("peer", "enc-1")
            .with("reason", "too \"late\"")
            .with("empty", "")
            .with("newline", "a\nb=c")
            .toString();
    assertEquals(
        "event=route peer=enc-1 reason=\"too \\\"late\\\"\" empty=\"\" newline=\"a b=c\"", line);
  }
}

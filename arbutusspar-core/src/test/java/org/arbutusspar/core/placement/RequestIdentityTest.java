package org.arbutusspar.core.placement;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class RequestIdentityTest {

  private static RequestIdentity identity(String host, String target, String caller, String body) {
    return RequestIdentity.of(host, target, caller, body.getBytes(UTF_8));
  }

  @Test
  void equalRequestsHaveTheSameSubject() {
    RequestIdentity first = identity("h", "/p/x", "t", "body");
    RequestIdentity second = identity("h", "/p/x", "t", "body");
    assertEquals(first.head(), second.head());
    assertEquals(first.subject(), second.subject());
    assertEquals(first.head(), RequestIdentity.headOf(first.subject()));
  }

  /** A sound request would be rejected with the one that crashes replicas. */
  @Test
  void pathCallerAndBodyTellRequestsApart() {
    String subject = identity("h", "/p/x", "t", "body").subject();
    assertNotEquals(subject, identity("g", "/p/x", "t", "body").subject());
    assertNotEquals(subject, identity("h", "/p/y", "t", "body").subject());
    assertNotEquals(subject, identity("h", "/p/x?a", "t", "body").subject());
    assertNotEquals(subject, identity("h", "/p/x", "u", "body").subject());
    assertNotEquals(subject, identity("h", "/p/x", "t", "bodz").subject());
    assertNotEquals(subject, identity("h", "/p/x", "t", "").subject());
    assertNotEquals(
        identity("h", "/p", "t\nx", "").subject(), identity("x\nh", "/p", "t", "").subject());
  }

  @Test
  void headOfPromptPartIsThePartItself() {
    assertEquals("5c1e07a2", RequestIdentity.headOf("5c1e07a2"));
  }
}

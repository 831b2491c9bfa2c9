package org.arbutusspar.core.id;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards the text form and the signature of request identifiers: a forged or malformed identifier
 * must not be accepted.
 */
class RequestIdTest {

  private final PrefixSigner signer = PrefixSigner.create("0123456789abcdef".getBytes());
  private final Home home = new Home(InstanceId.of("entry-1"), -5);

  @Property(tries = 200, seed = "1")
  void parseReversesToString(@ForAll long incarnation, @ForAll long issuedAtMillis) {
    Home any = new Home(InstanceId.of("e"), incarnation);
    RequestId id = new RequestId(signer.issue(any, issuedAtMillis), "call-1_X");
    assertEquals(id, RequestId.parse(id.toString()));
    assertTrue(id.toString().length() <= RequestId.MAX_CHARS);
  }

  @Test
  void prefixIsGenuineOnlyForItsSecretAndContent() {
    RequestPrefix prefix = signer.issue(home, 1);
    assertTrue(signer.isGenuine(prefix));
    assertFalse(PrefixSigner.create(new byte[16]).isGenuine(prefix));
    RequestPrefix later = new RequestPrefix(home, 2, prefix.signature());
    assertFalse(signer.isGenuine(later));
  }

  @Test
  void malformedTextsAreRejected() {
    List<String> malformed =
        List.of(
            "",
            "x",
            "a.b",
            "entry.1.1.0123456789abcdef",
            "entry.zz.1.0123456789abcdef.x",
            "Entry.1.1.0123456789abcdef.x",
            "entry.1.1.0123456789abcdef.",
            "entry.1.1.0123456789abcdef.a b",
            "entry.1.1.0123456789abcdef." + "x".repeat(65),
            "x".repeat(1_000));
    for (String each : malformed) {
      assertThrows(IllegalArgumentException.class, () -> RequestId.parse(each), each);
    }
  }

  @Test
  void shortSecretIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> PrefixSigner.create(new byte[15]));
  }
}

package org.arbutusspar.core.routing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/** API keys of the workspaces, stored as SHA-256 hashes. Immutable. */
public final class KeyRing {

  private static final String ALGORITHM = "SHA-256";

  private final Map<String, KeyOwner> owners;
  private final boolean required;

  private KeyRing(Map<String, KeyOwner> owners, boolean required) {
    this.owners = owners;
    this.required = required;
  }

  /** Returns a builder without keys. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the workspace that owns a key.
   *
   * @param key the key as the client sent it, not null
   * @return the workspace, or empty if the key is unknown
   */
  public Optional<KeyOwner> find(String key) {
    return Optional.ofNullable(owners.get(hash(key)));
  }

  /** Returns whether requests need a key, except on anonymous routes. */
  public boolean isRequired() {
    return required;
  }

  private static String hash(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the runtime lacks " + ALGORITHM, e);
    }
  }

  /** Builds key rings. */
  public static final class Builder {
    private final Map<String, KeyOwner> owners = new HashMap<>();

    private Builder() {}

    /**
     * Adds a key.
     *
     * @param key the key, not null
     * @param owner the workspace that owns it, not null
     * @return this builder
     */
    public Builder add(String key, KeyOwner owner) {
      owners.put(hash(key), owner);
      return this;
    }

    /**
     * Returns the key ring.
     *
     * @param required whether requests need a key, except on anonymous routes
     * @return the key ring
     */
    public KeyRing build(boolean required) {
      return new KeyRing(Map.copyOf(owners), required);
    }
  }
}

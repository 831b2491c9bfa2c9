package org.arbutusspar.io.link;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses and expands large values in messages between instances, in the zlib format. */
final class CompressedBytes {

  private CompressedBytes() {}

  /**
   * Compresses bytes.
   *
   * @param bytes the bytes, not null
   * @return the compressed bytes
   */
  static byte[] compress(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream compressing = new DeflaterOutputStream(out, deflater)) {
      compressing.write(bytes);
    } catch (IOException e) {
      throw new IllegalStateException("bytes cannot be compressed", e);
    } finally {
      deflater.end();
    }
    return out.toByteArray();
  }

  /**
   * Expands compressed bytes.
   *
   * @param compressed the compressed bytes, not null
   * @param maxBytes maximum size of the result, in bytes
   * @return the bytes
   * @throws IOException if the input is malformed or expands to more than {@code maxBytes}
   */
  static byte[] expand(byte[] compressed, int maxBytes) throws IOException {
    try (InflaterInputStream expanding =
        new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] bytes = expanding.readNBytes(maxBytes);
      if (expanding.read() >= 0) {
        throw new IOException("value expands to more than " + maxBytes + " bytes");
      }
      return bytes;
    }
  }
}

// Digests and comparison of secrets, on OpenSSL.
#include "marigoldquay/core/secret.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>

#include "absl/strings/escaping.h"

namespace marigoldquay {

std::string Sha256Hex(absl::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

bool ConstantTimeEquals(absl::string_view a, absl::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomSecretHex(int bytes) {
  std::string data(bytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(data.data()), bytes);
  return absl::BytesToHexString(data);
}

}  // namespace marigoldquay

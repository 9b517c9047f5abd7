// Digests and comparison of secrets, on OpenSSL.
#ifndef MARIGOLDQUAY_CORE_SECRET_H_
#define MARIGOLDQUAY_CORE_SECRET_H_

#include <string>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(absl::string_view data);

/// Compares in time that depends only on the lengths.
bool ConstantTimeEquals(absl::string_view a, absl::string_view b);

/// Random text of 2 * `bytes` hexadecimal digits from the operating system's generator.
std::string RandomSecretHex(int bytes);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_SECRET_H_

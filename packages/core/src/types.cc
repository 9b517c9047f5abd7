// Identifiers: text forms and random numbers.
#include "marigoldquay/core/types.h"

#include <openssl/rand.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace marigoldquay {

std::string Instance::ToString() const { return absl::StrCat(vm, "/", absl::Hex(incarnation)); }

std::optional<Instance> Instance::Parse(absl::string_view text) {
  const auto slash = text.rfind('/');
  if (slash == absl::string_view::npos || slash == 0) return std::nullopt;
  Instance instance;
  instance.vm = std::string(text.substr(0, slash));
  if (!absl::SimpleHexAtoi(text.substr(slash + 1), &instance.incarnation)) return std::nullopt;
  return instance;
}

std::uint64_t RandomId() {
  std::uint64_t value = 0;
  while (value == 0) {
    RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  }
  return value;
}

std::string RandomHexId() { return absl::StrCat(absl::Hex(RandomId(), absl::kZeroPad16)); }

}  // namespace marigoldquay
